/**
 * Decides on the keys of one partition: a run is granted only after its claim is stored.
 */
import type { Failure, FailureCode } from '../failure.js';
import type { Grant } from '../membership/ownership.js';
import { partLog } from '../observability/log.js';
import { Err, Ok, type Result } from '../results.js';
import { remainingMs, type Call } from '../time/call.js';
import { CALL_ENDED } from '../time/callEnded.js';
import type { Clock } from '../time/clock.js';
import type { KeyClaim, KeyDecision, KeySettlement } from './keyAuthority.js';
import type { KeyJournal } from './keyJournal.js';
import { KEY_RETENTION_MS, type KeyMemory } from './keyMemory.js';
import type { KeyRecord } from './keySegment.js';
import { PendingClaims, type PendingClaim } from './pendingClaims.js';
import { refusal } from './refusal.js';

/** Shortest time between two writes of a partition, in milliseconds. */
const WRITE_INTERVAL_MS = 40;

/** Time between two tries while the store does not answer, in milliseconds. */
const STORE_RETRY_MS = 500;

/** Time between two removals of what is too old, in milliseconds. */
const REMOVAL_INTERVAL_MS = 60_000;

/** Keys remembered at most; a claim beyond is refused rather than an older one forgotten. */
const MAXIMUM_KEYS = 50_000;

/** Longest time that a claim waits for its write, in milliseconds. */
const CLAIM_WAIT_MS = 2_000;

const STEP = 'requests.claim';

const log = partLog('keys');

/** Time after the deadline within which a run may still be answering, in milliseconds. */
const RUN_SLACK_MS = 60_000;

/** What the claims are made of. */
export interface KeyClaimsParts {
  readonly journal: KeyJournal;
  readonly memory: KeyMemory;
  readonly grant: Grant;
  readonly clock: Clock;
  /** Name of this entry, for failures. */
  readonly entry: string;
}

/** The claims of a partition that this entry owns. */
export class KeyClaims {
  private readonly stop = new AbortController();

  private readonly pending = new PendingClaims();

  private ends: KeyRecord[] = [];

  private loaded = false;

  private storeAnswers = true;

  private wake = new AbortController();

  private done: Promise<void> = Promise.resolve();

  /**
   * @param parts - what the claims are made of
   */
  constructor(private readonly parts: KeyClaimsParts) {}

  /** Begins to take the partition over and to write. */
  begin(): void {
    this.parts.grant.signal.addEventListener('abort', () => this.end());
    this.done = this.run();
  }

  /** Writes what is pending and ends; after that another owner may begin. */
  async close(): Promise<void> {
    this.end();
    await this.done;
  }

  /**
   * Decides on a claim.
   *
   * @param claim - the claim
   * @param call - deadline of the request
   * @returns the decision; `granted` only if the claim is stored
   */
  async claim(claim: KeyClaim, call: Call): Promise<Result<KeyDecision, Failure>> {
    if (this.stop.signal.aborted) return Err(this.refuse('not-owner', 'The owner has changed.'));
    if (!this.storeAnswers) {
      return Err(this.refuse('unavailable', 'The store does not take claims now.'));
    }
    const { clock, memory } = this.parts;
    const waiting = this.pending.find(claim.key);
    if (waiting) return this.joinWaiting(waiting, claim, call);
    memory.removeOlder(clock.wallMs() - KEY_RETENTION_MS);
    const known = this.loaded ? memory.decide(claim, clock.monotonicMs()) : undefined;
    if (known) return Ok(known);
    if (memory.size + this.pending.size >= MAXIMUM_KEYS) return Err(this.full());
    return this.within(this.enqueue(claim, call), claim, call);
  }

  /**
   * Records the end of a run. It is stored with the next write.
   *
   * @param settlement - the end of the run
   */
  settle(settlement: KeySettlement): void {
    const { key, token, outcome, answer } = settlement;
    if (outcome === 'not-run' && this.pending.withdraw(key, token)) return;
    if (!this.parts.memory.end(key, token, outcome, answer)) return;
    this.ends.push({ kind: 'end', key, token, outcome });
    this.wake.abort(CALL_ENDED);
  }

  private joinWaiting(
    waiting: PendingClaim,
    claim: KeyClaim,
    call: Call,
  ): Promise<Result<KeyDecision, Failure>> {
    if (waiting.claim.token === claim.token) {
      this.pending.renew(claim.token);
      return this.within(waiting.result, claim, call);
    }
    const same = waiting.claim.fingerprint === claim.fingerprint;
    return Promise.resolve(Ok({ kind: same ? 'running' : 'other-request' }));
  }

  private enqueue(claim: KeyClaim, call: Call): Promise<Result<KeyDecision, Failure>> {
    const atMs = this.parts.clock.wallMs();
    const { result } = this.pending.add(claim, atMs, call.deadlineMs + RUN_SLACK_MS);
    this.wake.abort(CALL_ENDED);
    return result;
  }

  private async within(
    result: Promise<Result<KeyDecision, Failure>>,
    claim: KeyClaim,
    call: Call,
  ): Promise<Result<KeyDecision, Failure>> {
    const over = new AbortController();
    const { clock } = this.parts;
    const giveUp = async (): Promise<Result<KeyDecision, Failure>> => {
      await clock.sleep(Math.min(CLAIM_WAIT_MS, remainingMs(clock, call)), over.signal);
      if (over.signal.aborted) return result;
      this.pending.withdraw(claim.key, claim.token);
      return Err(this.refuse('unavailable', 'The claim was not stored in time.'));
    };
    const first = await Promise.race([result, giveUp()]);
    over.abort(CALL_ENDED);
    return first;
  }

  private end(): void {
    this.stop.abort();
    this.wake.abort(CALL_ENDED);
  }

  private async run(): Promise<void> {
    const { clock } = this.parts;
    let removedAtMs = clock.monotonicMs();
    while (!this.stop.signal.aborted) {
      if (!this.loaded && !(await this.load())) continue;
      await this.writePending();
      if (this.stop.signal.aborted) break;
      if (clock.monotonicMs() - removedAtMs > REMOVAL_INTERVAL_MS) {
        removedAtMs = clock.monotonicMs();
        await this.parts.journal.removeOlder(clock.wallMs() - KEY_RETENTION_MS);
      }
      await this.waitForWork();
    }
    if (this.loaded && this.storeAnswers) await this.writePending();
    this.refusePending('not-owner', 'The owner has changed.');
  }

  private async load(): Promise<boolean> {
    const { clock, grant, journal, memory } = this.parts;
    if (!grant.isCertain()) {
      await clock.sleep(STORE_RETRY_MS, this.stop.signal);
      return false;
    }
    const records = await journal.takeOver();
    if (!records) {
      this.storeOut();
      await clock.sleep(STORE_RETRY_MS, this.stop.signal);
      return false;
    }
    memory.load(records);
    this.loaded = true;
    this.storeAnswers = true;
    log.info('Partition is taken over.', { resource: grant.resource, keys: memory.size });
    return true;
  }

  private async waitForWork(): Promise<void> {
    const { clock } = this.parts;
    await clock.sleep(this.storeAnswers ? WRITE_INTERVAL_MS : STORE_RETRY_MS, this.stop.signal);
    if (this.stop.signal.aborted || !this.loaded || !this.storeAnswers) return;
    if (this.pending.size > 0 || this.ends.length > 0) return;
    this.wake = new AbortController();
    await clock.sleep(REMOVAL_INTERVAL_MS, this.wake.signal);
  }

  /** Writes all that came since the last write, in one swap. */
  private async writePending(): Promise<void> {
    const claims = this.undecided();
    const { ends } = this;
    if (claims.length === 0 && ends.length === 0 && this.storeAnswers) return;
    this.ends = [];
    const outcome = await this.parts.journal.append([
      ...ends,
      ...claims.map(({ record }) => record),
    ]);
    if (outcome === 'written') {
      this.storeAnswers = true;
      this.grant(claims);
      return;
    }
    this.ends = [...ends, ...this.ends];
    if (outcome === 'fenced') this.fenced();
    else this.storeOut();
  }

  /** Pending claims without those of keys that were learned while they waited. */
  private undecided(): readonly PendingClaim[] {
    const { clock, memory } = this.parts;
    for (const pending of this.pending.all()) {
      const known = memory.decide(pending.claim, clock.monotonicMs());
      if (!known) continue;
      this.pending.remove(pending);
      pending.settle(Ok(known));
    }
    return this.pending.all();
  }

  private grant(claims: readonly PendingClaim[]): void {
    for (const pending of claims) {
      const { claim, record, settle, runsUntilMs } = pending;
      const { key, token } = claim;
      if (this.pending.remove(pending)) {
        this.ends.push({ kind: 'end', key, token, outcome: 'not-run' });
        settle(Err(this.refuse('unavailable', 'The claim was given up.')));
        continue;
      }
      this.parts.memory.add(claim, record.atMs, runsUntilMs);
      settle(Ok({ kind: 'granted' }));
    }
  }

  private fenced(): void {
    log.warn('Another owner has written.', { resource: this.parts.grant.resource });
    this.loaded = false;
    this.refusePending('unavailable', 'Another owner has taken the key over.');
  }

  private storeOut(): void {
    if (this.storeAnswers) log.warn('The store takes no claims.');
    this.storeAnswers = false;
    this.refusePending('unavailable', 'The store did not take the claim.');
  }

  private refusePending(code: FailureCode, message: string): void {
    this.pending.refuseAll(this.refuse(code, message));
  }

  private full(): Failure {
    const { clock, memory } = this.parts;
    const ageMs = clock.wallMs() - (memory.oldestMs() ?? clock.wallMs());
    const message = 'Too many keys are remembered.';
    const retryAfterMs = Math.max(STORE_RETRY_MS, KEY_RETENTION_MS - ageMs);
    return refusal({
      code: 'overloaded',
      step: STEP,
      peer: this.parts.entry,
      message,
      retryAfterMs,
    });
  }

  private refuse(code: FailureCode, message: string): Failure {
    const { entry } = this.parts;
    return refusal({ code, step: STEP, peer: entry, message, retryAfterMs: STORE_RETRY_MS });
  }
}
