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
import { CallPace, PACE_SETTINGS, type PaceSettings } from './callPace.js';

const PEER = 'key-value store';

type Answer<T> = Promise<Result<T, Failure>>;

/** Paces, coalesces and counts calls. */
export class PacedKeyValueStore implements KeyValueStore {
  readonly counts = new CallCounts();

  private readonly pace: CallPace;

  /** Gets that were asked for and not sent yet, by key. */
  private readonly waitingGets = new Map<string, Answer<KeyValue | undefined>>();

  /**
   * @param store - the platform's store
   * @param clock - for the pace
   * @param settings - how fast calls may be sent
   */
  constructor(
    private readonly store: KeyValueStore,
    clock: Clock,
    settings: PaceSettings = PACE_SETTINGS,
  ) {
    this.pace = new CallPace(clock, settings);
  }

  get maximumValueBytes(): number {
    return this.store.maximumValueBytes;
  }

  /** A get joins one of the same key only while that one is not sent: it may not read older news. */
  get(key: string, call: Call): Answer<KeyValue | undefined> {
    const waiting = this.waitingGets.get(key);
    return waiting ? this.join(key, waiting, call) : this.ask(key, call);
  }

  list(prefix: string, call: Call): Answer<Listing> {
    return this.paced('list', call, () => this.store.list(prefix, call));
  }

  swap(swap: Swap, call: Call): Answer<SwapOutcome> {
    return this.paced('swap', call, () => this.store.swap(swap, call));
  }

  remove(key: string, expectedRevision: number, call: Call): Answer<boolean> {
    return this.paced('remove', call, () => this.store.remove(key, expectedRevision, call));
  }

  grantLease(timeToLiveMs: number, call: Call): Answer<string> {
    return this.paced('grant-lease', call, () => this.store.grantLease(timeToLiveMs, call));
  }

  renewLease(leaseId: string, call: Call): Answer<boolean> {
    this.pace.force();
    return this.observed('renew-lease', () => this.store.renewLease(leaseId, call));
  }

  revokeLease(leaseId: string, call: Call): Answer<boolean> {
    this.pace.force();
    return this.observed('revoke-lease', () => this.store.revokeLease(leaseId, call));
  }

  watch(prefix: string, afterRevision: number, holdMs: number, call: Call): Answer<ChangeBatch> {
    this.counts.add('watch');
    return this.store.watch(prefix, afterRevision, holdMs, call);
  }

  close(): Promise<void> {
    return this.store.close();
  }

  /** The joined get may end with the call of whoever asked first; then this one asks by itself. */
  private async join(
    key: string,
    waiting: Answer<KeyValue | undefined>,
    call: Call,
  ): Answer<KeyValue | undefined> {
    const answer = await waiting;
    return answer.ok || call.signal.aborted ? answer : this.ask(key, call);
  }

  private ask(key: string, call: Call): Answer<KeyValue | undefined> {
    const asked = this.paced('get', call, () => {
      this.waitingGets.delete(key);
      return this.store.get(key, call);
    });
    this.waitingGets.set(key, asked);
    return asked.finally(() => {
      if (this.waitingGets.get(key) === asked) this.waitingGets.delete(key);
    });
  }

  private async paced<T>(kind: StoreCallKind, call: Call, send: () => Answer<T>): Answer<T> {
    const isAdmitted = await this.pace.admit(call);
    if (isAdmitted) return this.observed(kind, send);
    const step = `store.${kind}`;
    const message = 'the call would have waited past its deadline';
    const code = call.signal.aborted ? 'cancelled' : 'overloaded';
    return Err(new Failure({ code, step, peer: PEER, effect: 'not-run', message }));
  }

  private async observed<T>(kind: StoreCallKind, send: () => Answer<T>): Answer<T> {
    this.counts.add(kind);
    const answer = await send();
    if (answer.ok) this.pace.succeeded();
    else if (this.isRefusal(answer.val)) this.pace.failed();
    return answer;
  }

  private isRefusal({ code }: Failure): boolean {
    return code === 'overloaded' || code === 'unavailable' || code === 'deadline';
  }
}
