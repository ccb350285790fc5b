/**
 * A key-value store that slows this entry's own calls down before the platform has to.
 *
 * Renewals of leases and waiting watches are counted but never held up: their number is fixed for
 * each entry, and a late renewal costs everything that the entry owns.
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

/** Paces, coalesces and counts calls. */
export class RateLimitedKeyValueStore implements KeyValueStore {
  readonly counts = new CallCounts();

  private readonly rateLimiter: CallRateLimiter;

  /** Gets that were asked for and not sent yet, by key. */
  private readonly unsentGets = new Map<string, Answer<KeyValue | undefined>>();

  /**
   * @param store - the platform's store
   * @param clock - for the pace
   * @param settings - how fast calls may be sent
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
   * A get joins one of the same key only while that one is not sent: it may not read older news.
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

  /** The joined get may end with the call of whoever asked first; then this one asks by itself. */
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
