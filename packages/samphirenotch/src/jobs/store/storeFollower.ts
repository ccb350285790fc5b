/**
 * Follows all keys under a prefix of the store: one listing, then watches by long polls.
 */
import type { Failure } from '../../failure.js';
import type { KeyValue, Listing } from '../../infrastructure/keyValueStore.js';
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import type { Result } from '../../results.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';
import { Wakeup } from '../../time/wakeup.js';

/** Maximum hold of a long poll, in milliseconds; limits how long a silent store goes unnoticed. */
const WATCH_HOLD_MS = 1_000;

/** Minimum hold of a long poll, in milliseconds. */
const MINIMUM_HOLD_MS = 100;

/** Maximum age of the view when the answer after a hold arrives, in milliseconds; its users accept 2 s. */
const MAXIMUM_VIEW_AGE_MS = 1_700;

/** Time after the hold by which a long poll must have been answered, in milliseconds. */
const WATCH_TIMEOUT_MARGIN_MS = 500;

/**
 * Longest silence of the store during a listing, in milliseconds. The whole listing may take longer,
 * as it does on slow links.
 */
const LIST_SILENCE_MS = 1_500;

/** Minimum delay between polls, even if a refresh is requested, in milliseconds. */
const MINIMUM_POLL_DELAY_MS = 20;

/** Maximum wait for a requested refresh, in milliseconds; the store usually answers in a few. */
const REFRESH_TIMEOUT_MS = 40;

/** Delay after a failed call, in milliseconds. */
const RETRY_MS = 150;

/** Receives the items under the prefix and their changes. */
export interface StoreListener {
  /**
   * Called with a full listing, which replaces all earlier items. Must not throw; `applyItem` guards
   * against single items.
   */
  onListing(items: readonly KeyValue[], revision: number): void;
  /** Called for each change; `value` is undefined if the key was removed. */
  onChange(key: string, value: string | undefined, revision: number): void;
  /**
   * Called after all changes of an answer, even if it has none.
   *
   * @param revision - store revision up to which the answer is complete
   * @param requestedMs - monotonic time at which the call was sent, in milliseconds
   */
  onCaughtUp(revision: number, requestedMs: number): void;
}

/** Timing of polls. By default a follower polls again at once, with the maximum hold. */
export interface FollowerTiming {
  /**
   * Delay between polls, in milliseconds, in which changes accumulate; saves calls, which are
   * priced.
   */
  readonly pollDelayMs?: () => number;
  /** Upper limit of the hold, in milliseconds. */
  readonly holdMs?: () => number;
}

const itemLog = partLog('follower');

/**
 * Applies an item of the store. If that throws, the item is logged and left out: one item must not
 * keep others from being followed.
 *
 * @param key - key of the item
 * @param apply - applies it
 */
export const applyItem = (key: string, apply: () => void): void => {
  try {
    apply();
  } catch (error) {
    itemLog.error('An item of the store cannot be applied', { key, reason: String(error) });
  }
};

/** The answer to a listing. */
interface RequestedListing {
  readonly listing: Result<Listing, Failure>;
  /** Monotonic time at which the call was sent, in milliseconds. */
  readonly sentMs: number;
  /** Time until the answer, in milliseconds. */
  readonly tookMs: number;
}

/** Follows one prefix and passes items and changes to a listener. */
export class StoreFollower {
  private readonly log = partLog('follower');

  private revision = 0;

  private isListed = false;

  /**
   * Monotonic time at which the newest call that was applied to the view was sent, in milliseconds.
   */
  private viewRequestedMs = Number.NEGATIVE_INFINITY;

  /** Time that the store took to answer the last call, without the hold, in milliseconds. */
  private latencyMs = 0;

  /** Monotonic time of the newest answer, in milliseconds. */
  private lastContactMs = Number.NEGATIVE_INFINITY;

  private isFailing = false;

  /** Ends the delay between polls. */
  private readonly pollNow: Wakeup;

  private isDelayingPoll = false;

  /** True if a refresh has ended the current delay early. */
  private isRefreshRequested = false;

  /** A listing that is read before the follower runs. */
  private listedAhead: Promise<RequestedListing> | undefined;

  /** Resolve functions of refreshes that wait for the next answer. */
  private refreshWaiters: (() => void)[] = [];

  /**
   * @param store - the store
   * @param prefix - the prefix
   * @param listener - receives items and changes
   * @param clock - time
   * @param timing - delays and holds of polls
   */
  constructor(
    private readonly store: TransactionStore,
    private readonly prefix: string,
    private readonly listener: StoreListener,
    private readonly clock: Clock,
    private readonly timing: FollowerTiming = {},
  ) {
    this.pollNow = new Wakeup(clock);
  }

  /** @returns maximum age of the view, in milliseconds, counted from when its call was sent */
  viewAgeMs(): number {
    return this.clock.monotonicMs() - this.viewRequestedMs;
  }

  /**
   * Returns for how long the store has not answered.
   *
   * @returns milliseconds since its last answer; 0 unless calls fail, so that time in which this
   *   process was late to read answers does not count
   */
  silenceMs(): number {
    const hasAnswered = this.lastContactMs !== Number.NEGATIVE_INFINITY;
    if (hasAnswered && !this.isFailing) return 0;
    return this.clock.monotonicMs() - this.lastContactMs;
  }

  /**
   * Reads the first listing now. It is passed on once the follower runs.
   *
   * @param signal - ends following
   */
  listAhead(signal: AbortSignal): void {
    this.listedAhead ??= this.requestListing(signal);
  }

  /**
   * Follows the prefix until it is aborted.
   *
   * @param signal - ends following
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const ok = this.isListed ? await this.watch(signal) : await this.list(signal);
      if (!ok && !signal.aborted) await this.clock.sleep(RETRY_MS, signal);
      const pollDelayMs = this.timing.pollDelayMs?.() ?? 0;
      if (ok && pollDelayMs > 0) await this.delayPoll(pollDelayMs, signal);
    }
  }

  /**
   * Polls at once if the next poll is delayed, and waits for the answer. Otherwise a poll is in
   * progress.
   */
  async refresh(): Promise<void> {
    if (!this.isDelayingPoll) return;
    const answered = new Promise<void>((resolve) => {
      this.refreshWaiters.push(resolve);
    });
    // A second wake-up would end the delay after the next answer.
    if (!this.isRefreshRequested) this.pollNow.wake();
    this.isRefreshRequested = true;
    await Promise.race([answered, this.clock.sleep(REFRESH_TIMEOUT_MS)]);
  }

  private async delayPoll(pollDelayMs: number, signal: AbortSignal): Promise<void> {
    const minimumMs = Math.min(MINIMUM_POLL_DELAY_MS, pollDelayMs);
    const startMs = this.clock.monotonicMs();
    this.isDelayingPoll = true;
    this.isRefreshRequested = false;
    await this.pollNow.wait(pollDelayMs, signal);
    const leftMs = startMs + minimumMs - this.clock.monotonicMs();
    if (leftMs > 0) await this.clock.sleep(leftMs, signal);
    this.isDelayingPoll = false;
  }

  private async list(signal: AbortSignal): Promise<boolean> {
    const requested = this.listedAhead ?? this.requestListing(signal);
    this.listedAhead = undefined;
    const { listing, sentMs, tookMs } = await requested;
    if (listing.err) return this.noteFailure(listing.val.message);
    this.revision = listing.val.revision;
    this.isListed = true;
    this.noteContact();
    this.viewRequestedMs = sentMs;
    this.noteLatency(tookMs, 0);
    this.listener.onListing(listing.val.items, this.revision);
    this.listener.onCaughtUp(this.revision, sentMs);
    return true;
  }

  private async requestListing(signal: AbortSignal): Promise<RequestedListing> {
    const sentMs = this.clock.monotonicMs();
    const call = callWithin(this.clock, LIST_SILENCE_MS, signal);
    const listing = await this.store.list(this.prefix, call);
    return { listing, sentMs, tookMs: this.clock.monotonicMs() - sentMs };
  }

  private async watch(signal: AbortSignal): Promise<boolean> {
    const holdMs = this.holdMs();
    const call = callWithin(this.clock, holdMs + WATCH_TIMEOUT_MARGIN_MS, signal);
    const sentMs = this.clock.monotonicMs();
    const batch = await this.store.watch(this.prefix, this.revision, holdMs, call);
    if (batch.err) return this.noteFailure(batch.val.message);
    this.noteContact();
    if (batch.val.compacted) {
      this.log.info('The store dropped its history; listing again', {
        prefix: this.prefix,
        revision: this.revision,
      });
      this.isListed = false;
      return true;
    }
    this.viewRequestedMs = sentMs;
    this.noteLatency(this.clock.monotonicMs() - sentMs, holdMs);
    batch.val.changes.forEach(({ key, value, revision }) =>
      applyItem(key, () => this.listener.onChange(key, value, revision)),
    );
    this.revision = Math.max(this.revision, batch.val.revision);
    this.listener.onCaughtUp(this.revision, sentMs);
    const { refreshWaiters } = this;
    this.refreshWaiters = [];
    refreshWaiters.forEach((resolve) => resolve());
    return true;
  }

  private holdMs(): number {
    const leftMs = Math.round(MAXIMUM_VIEW_AGE_MS - this.viewAgeMs() - this.latencyMs);
    const longestMs = Math.min(WATCH_HOLD_MS, leftMs, this.timing.holdMs?.() ?? WATCH_HOLD_MS);
    return Math.max(MINIMUM_HOLD_MS, longestMs);
  }

  /** An answer that comes before the end of the hold shows only that the latency is not longer. */
  private noteLatency(tookMs: number, holdMs: number): void {
    this.latencyMs = tookMs >= holdMs ? tookMs - holdMs : Math.min(this.latencyMs, tookMs);
  }

  private noteContact(): void {
    if (this.isFailing) {
      this.isFailing = false;
      this.log.info('The store answers again', { prefix: this.prefix, revision: this.revision });
    }
    this.lastContactMs = this.clock.monotonicMs();
  }

  private noteFailure(reason: string): false {
    if (!this.isFailing) {
      this.isFailing = true;
      this.log.warn('The store does not answer', {
        prefix: this.prefix,
        revision: this.revision,
        reason,
      });
    }
    return false;
  }
}
