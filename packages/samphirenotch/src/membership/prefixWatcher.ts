/**
 * Follows all keys under a prefix with one waiting watch, and lists again when the store has
 * forgotten what lies between.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { partLog } from '../observability/log.js';
import type { Change, KeyValue, KeyValueStore, Listing } from '../infrastructure/keyValueStore.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';

const WATCH_HOLD_MS = 4000;
const WATCH_TIMEOUT_MS = 5000;
const LIST_TIMEOUT_MS = 2000;
const MINIMUM_RETRY_MS = 100;
const MAXIMUM_RETRY_MS = 1000;

const log = partLog('follower');

/** A copy of the keys under a prefix, kept up to date. */
export class PrefixWatcher {
  private readonly items = new Map<string, KeyValue>();

  private readonly listeners: (() => void)[] = [];

  private readonly random: RandomGenerator;

  private revision: number | undefined;

  private needsListing = true;

  /**
   * @param store - the platform's store
   * @param clock - for waits and deadlines
   * @param prefix - what to follow
   * @param seed - seed of the jitter
   */
  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly prefix: string,
    seed: number,
  ) {
    this.random = xoroshiro128plus(seed);
  }

  /**
   * Tells whether the prefix was listed at least once.
   *
   * @returns true if the copy says anything
   */
  isReady(): boolean {
    return this.revision !== undefined;
  }

  /**
   * The keys by the last news.
   *
   * @returns keys with their values
   */
  keyValues(): ReadonlyMap<string, KeyValue> {
    return this.items;
  }

  /**
   * Calls back after changes.
   *
   * @param listener - called without arguments
   */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Takes in a write made here, without waiting for the watch.
   *
   * @param change - what the store confirmed
   */
  applyConfirmed(change: Change): void {
    this.apply(change);
  }

  /**
   * Follows until the signal aborts.
   *
   * @param signal - ends the loop
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const succeeded = await this.listOrWatch(signal);
      if (!succeeded) await this.clock.sleep(this.retryMs(), signal);
    }
  }

  private listOrWatch(signal: AbortSignal): Promise<boolean> {
    const { revision, needsListing } = this;
    return needsListing || revision === undefined
      ? this.list(signal)
      : this.watch(revision, signal);
  }

  private async list(signal: AbortSignal): Promise<boolean> {
    const call = callWithin(this.clock, LIST_TIMEOUT_MS, signal);
    const listed = await this.store.list(this.prefix, call);
    if (!listed.ok) {
      log.debug('The prefix was not listed.', { prefix: this.prefix, reason: listed.val.message });
      return false;
    }
    this.replace(listed.val);
    this.revision = listed.val.revision;
    this.needsListing = false;
    this.notify();
    return true;
  }

  /** What was learned from an own write after the listing stays. */
  private replace(listing: Listing): void {
    const newerItems = [...this.items.values()].filter((item) => item.revision > listing.revision);
    this.items.clear();
    [...listing.items, ...newerItems].forEach((item) => this.items.set(item.key, item));
  }

  private async watch(revision: number, signal: AbortSignal): Promise<boolean> {
    const call = callWithin(this.clock, WATCH_TIMEOUT_MS, signal);
    const batch = await this.store.watch(this.prefix, revision, WATCH_HOLD_MS, call);
    // A watch can be silent for good while other calls are answered, so a failed one is not trusted.
    this.needsListing = !batch.ok || batch.val.compacted;
    if (!batch.ok) return false;
    if (batch.val.compacted) return true;
    batch.val.changes.forEach((change) => this.apply(change));
    this.revision = batch.val.revision;
    if (batch.val.changes.length > 0) this.notify();
    return true;
  }

  private apply({ key, value, revision }: Change): void {
    const known = this.items.get(key);
    if (known && known.revision > revision) return;
    if (value === undefined) this.items.delete(key);
    else this.items.set(key, { key, value, revision });
  }

  private retryMs(): number {
    return uniformInt(this.random, MINIMUM_RETRY_MS, MAXIMUM_RETRY_MS);
  }

  private notify(): void {
    this.listeners.forEach((listener) => listener());
  }
}
