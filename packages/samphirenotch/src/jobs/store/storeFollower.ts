/**
 * Keeps up with all keys under a prefix of the store: lists once, then watches.
 */
import type { KeyValue } from '../../infrastructure/keyValueStore.js';
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';
import { Wakeup } from '../../time/wakeup.js';

/** How long the store may hold a watch open, in milliseconds; bounds how long silence goes unseen. */
const WATCH_HOLD_MS = 1_000;

/** Shortest time for which a watch is held, in milliseconds. */
const MINIMUM_HOLD_MS = 100;

/** Age that a view may reach while a watch is held, in milliseconds; callers accept 2 s. */
const MAXIMUM_VIEW_AGE_MS = 1_700;

/** Time beyond the hold after which a watch counts as silent, in milliseconds. */
const WATCH_TIMEOUT_MARGIN_MS = 500;

/** Longest silence of the store during a listing, in milliseconds. */
const LIST_TIMEOUT_MS = 1_500;

/** Least time for which changes gather although callers wait for them, in milliseconds. */
const MINIMUM_POLL_DELAY_MS = 20;

/** Longest wait for changes that are asked for at once, in milliseconds: the store answers in a few. */
const REFRESH_TIMEOUT_MS = 40;

/** Wait after a failed call, in milliseconds. */
const RETRY_MS = 150;

/** Receives what is under the prefix. */
export interface StoreListener {
  /** Replaces everything known. */
  onListing(items: readonly KeyValue[], revision: number): void;
  /** One change; without a value the key was removed. */
  onChange(key: string, value: string | undefined, revision: number): void;
  /**
   * Called after all changes of an answer, also of an empty one.
   *
   * @param revision - revision of the store that the answer speaks of
   * @param requestedMs - monotonic time at which it was asked for, in milliseconds
   */
  onCaughtUp(revision: number, requestedMs: number): void;
}

/** Makes a follower spare calls, or spend them; it asks at once and holds long otherwise. */
export interface FollowerTiming {
  /** How long changes gather before they are asked for, in milliseconds; each answer is a priced call. */
  readonly pollDelayMs?: () => number;
  /** How long a watch may be held at most, in milliseconds. */
  readonly holdMs?: () => number;
}

/** Follows one prefix. */
export class StoreFollower {
  private readonly log = partLog('follower');

  private revision = 0;

  private isListed = false;

  /** Monotonic time at which the newest call was sent whose answer is in the view. */
  private viewRequestedMs = Number.NEGATIVE_INFINITY;

  /** Monotonic time of the newest answer, in milliseconds. */
  private lastContactMs = Number.NEGATIVE_INFINITY;

  private isFailing = false;

  /** Ends the time in which changes gather. */
  private readonly pollNow: Wakeup;

  private isDelayingPoll = false;

  /** Somebody has ended that time early. */
  private isRefreshRequested = false;

  /** Callers that wait for the next answer. */
  private refreshWaiters: (() => void)[] = [];

  /**
   * @param store - the store
   * @param prefix - the prefix
   * @param listener - receives items and changes
   * @param clock - time
   * @param timing - how often it asks
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

  /** @returns how old the view may be, in milliseconds: an answer may be as old as its call */
  viewAgeMs(): number {
    return this.clock.monotonicMs() - this.viewRequestedMs;
  }

  /**
   * Tells how long the store has been silent.
   *
   * @returns milliseconds since its last answer; 0 unless calls fail, so that time in which nobody
   *   listened does not count
   */
  silenceMs(): number {
    const hasAnswered = this.lastContactMs !== Number.NEGATIVE_INFINITY;
    if (hasAnswered && !this.isFailing) return 0;
    return this.clock.monotonicMs() - this.lastContactMs;
  }

  /**
   * Follows until told to stop.
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

  /** Asks for changes that gather, and waits for them. While a watch is held, changes come by themselves. */
  async refresh(): Promise<void> {
    if (!this.isDelayingPoll) return;
    const answered = new Promise<void>((resolve) => {
      this.refreshWaiters.push(resolve);
    });
    // A second wake-up would end the time after the next answer.
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
    const call = callWithin(this.clock, LIST_TIMEOUT_MS, signal);
    const sentMs = this.clock.monotonicMs();
    const listing = await this.store.list(this.prefix, call);
    if (listing.err) return this.noteFailure(listing.val.message);
    this.revision = listing.val.revision;
    this.isListed = true;
    this.noteContact();
    this.viewRequestedMs = sentMs;
    this.listener.onListing(listing.val.items, this.revision);
    this.listener.onCaughtUp(this.revision, sentMs);
    return true;
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
    batch.val.changes.forEach(({ key, value, revision }) =>
      this.listener.onChange(key, value, revision),
    );
    this.revision = Math.max(this.revision, batch.val.revision);
    this.listener.onCaughtUp(this.revision, sentMs);
    const { refreshWaiters } = this;
    this.refreshWaiters = [];
    refreshWaiters.forEach((resolve) => resolve());
    return true;
  }

  private holdMs(): number {
    const leftMs = Math.round(MAXIMUM_VIEW_AGE_MS - this.viewAgeMs());
    const longestMs = Math.min(WATCH_HOLD_MS, leftMs, this.timing.holdMs?.() ?? WATCH_HOLD_MS);
    return Math.max(MINIMUM_HOLD_MS, longestMs);
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
