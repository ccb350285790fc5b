/**
 * A key-value store that limits the rate of this entry's calls, before the platform rejects them.
 *
 * Lease renewals and long-poll watches are counted but never delayed: each entry sends a fixed
 * number of them, and with a late renewal the entry would lose everything that it owns.
 */
import { Failure } from '../failure.js';
import type {
  ChangeBatch,
  KeyValue,
  KeyValueStore,
  Listing,
  Swap,
  SwapOutcome,
} from '../infrastructure/keyValueStore.js';
import { Err, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { CallCounts, type StoreCallKind } from './callCounts.js';
import {
  CallRateLimiter,
  DEFAULT_CALL_RATE_SETTINGS,
  type CallRateSettings,
} from './callRateLimiter.js';

const STORE_PEER = 'key-value store';

type Answer<T> = Promise<Result<T, Failure>>;

/** Limits the rate of calls, joins concurrent gets of one key, and counts calls. */
export class RateLimitedKeyValueStore implements KeyValueStore {
  readonly counts = new CallCounts();

  private readonly rateLimiter: CallRateLimiter;

  /** Gets that wait for the rate limit and have not been sent yet, by key. */
  private readonly unsentGets = new Map<string, Answer<KeyValue | undefined>>();

  /**
   * @param store - the platform's store
   * @param clock - for the rate limit
   * @param settings - rate limit and backoff
   */
  constructor(
    private readonly store: KeyValueStore,
    clock: Clock,
    settings: CallRateSettings = DEFAULT_CALL_RATE_SETTINGS,
  ) {
    this.rateLimiter = new CallRateLimiter(clock, settings);
  }

  get maximumValueBytes(): number {
    return this.store.maximumValueBytes;
  }

  /**
   * Reads a key. Joins another get of the same key only if that one has not been sent yet, because
   * its answer could otherwise be older than this call.
   */
  get(key: string, call: Call): Answer<KeyValue | undefined> {
    const unsent = this.unsentGets.get(key);
    return unsent ? this.joinGet(key, unsent, call) : this.sendGet(key, call);
  }

  list(prefix: string, call: Call): Answer<Listing> {
    return this.sendLimited('list', call, () => this.store.list(prefix, call));
  }

  swap(swap: Swap, call: Call): Answer<SwapOutcome> {
    return this.sendLimited('swap', call, () => this.store.swap(swap, call));
  }

  remove(key: string, expectedRevision: number, call: Call): Answer<boolean> {
    return this.sendLimited('remove', call, () => this.store.remove(key, expectedRevision, call));
  }

  grantLease(timeToLiveMs: number, call: Call): Answer<string> {
    return this.sendLimited('grant-lease', call, () => this.store.grantLease(timeToLiveMs, call));
  }

  renewLease(leaseId: string, call: Call): Answer<boolean> {
    this.rateLimiter.takeWithoutWaiting();
    return this.sendCounted('renew-lease', () => this.store.renewLease(leaseId, call));
  }

  revokeLease(leaseId: string, call: Call): Answer<boolean> {
    this.rateLimiter.takeWithoutWaiting();
    return this.sendCounted('revoke-lease', () => this.store.revokeLease(leaseId, call));
  }

  watch(prefix: string, afterRevision: number, holdMs: number, call: Call): Answer<ChangeBatch> {
    this.counts.add('watch');
    return this.store.watch(prefix, afterRevision, holdMs, call);
  }

  close(): Promise<void> {
    return this.store.close();
  }

  /**
   * Waits for the joined get. If that fails, for instance because its own caller cancelled it, a
   * new get is sent.
   */
  private async joinGet(
    key: string,
    unsent: Answer<KeyValue | undefined>,
    call: Call,
  ): Answer<KeyValue | undefined> {
    const answer = await unsent;
    return answer.ok || call.signal.aborted ? answer : this.sendGet(key, call);
  }

  private sendGet(key: string, call: Call): Answer<KeyValue | undefined> {
    const sent = this.sendLimited('get', call, () => {
      this.unsentGets.delete(key);
      return this.store.get(key, call);
    });
    this.unsentGets.set(key, sent);
    return sent.finally(() => {
      if (this.unsentGets.get(key) === sent) this.unsentGets.delete(key);
    });
  }

  private async sendLimited<T>(kind: StoreCallKind, call: Call, send: () => Answer<T>): Answer<T> {
    const isAdmitted = await this.rateLimiter.admit(call);
    if (isAdmitted) return this.sendCounted(kind, send);
    const step = `store.${kind}`;
    const message = 'the call would have waited past its deadline';
    const code = call.signal.aborted ? 'cancelled' : 'overloaded';
    return Err(new Failure({ code, step, peer: STORE_PEER, effect: 'not-run', message }));
  }

  private async sendCounted<T>(kind: StoreCallKind, send: () => Answer<T>): Answer<T> {
    this.counts.add(kind);
    const answer = await send();
    if (answer.ok) this.rateLimiter.recordSuccess();
    else if (this.shouldBackOff(answer.val)) this.rateLimiter.recordFailure();
    return answer;
  }

  private shouldBackOff({ code }: Failure): boolean {
    return code === 'overloaded' || code === 'unavailable' || code === 'deadline';
  }
}
