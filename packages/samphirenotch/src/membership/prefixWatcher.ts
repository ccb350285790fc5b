/**
 * Keeps a copy of all keys under a prefix with one long-poll watch. Lists the prefix again when the
 * store has compacted the changes since the last known revision, or when a watch has failed.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { partLog } from '../observability/log.js';
import type { Change, KeyValue, KeyValueStore, Listing } from '../infrastructure/keyValueStore.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';

/** How long the store holds a watch open without changes, in milliseconds. */
const WATCH_HOLD_MS = 4000;

const WATCH_TIMEOUT_MS = 5000;
const LIST_TIMEOUT_MS = 2000;
const MINIMUM_RETRY_MS = 100;
const MAXIMUM_RETRY_MS = 1000;

const log = partLog('follower');

/** A copy of the keys and values under a prefix that is kept up to date. */
export class PrefixWatcher {
  private readonly items = new Map<string, KeyValue>();

  private readonly listeners: (() => void)[] = [];

  private readonly random: RandomGenerator;

  private revision: number | undefined;

  private needsListing = true;

  /**
   * @param store - the platform's store
   * @param clock - for waits and deadlines
   * @param prefix - prefix of the keys to watch
   * @param seed - seed of the jitter of retries
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
   * Checks whether the prefix was listed at least once.
   *
   * @returns true if the copy is usable
   */
  isReady(): boolean {
    return this.revision !== undefined;
  }

  /**
   * Returns the last known keys.
   *
   * @returns values and revisions by key
   */
  keyValues(): ReadonlyMap<string, KeyValue> {
    return this.items;
  }

  /**
   * Registers a listener that is called after changes from the store.
   *
   * @param listener - called without arguments
   */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Applies a change that the store reported in the answer to a call of this entry, without waiting
   * for the watch. Listeners are not called.
   *
   * @param change - the reported state of a key
   */
  applyConfirmed(change: Change): void {
    this.apply(change);
  }

  /**
   * Lists and watches until the signal aborts.
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

  /** Replaces the copy by a listing, but keeps items with a newer revision than the listing. */
  private replace(listing: Listing): void {
    const newerItems = [...this.items.values()].filter((item) => item.revision > listing.revision);
    this.items.clear();
    [...listing.items, ...newerItems].forEach((item) => this.items.set(item.key, item));
  }

  private async watch(revision: number, signal: AbortSignal): Promise<boolean> {
    const call = callWithin(this.clock, WATCH_TIMEOUT_MS, signal);
    const batch = await this.store.watch(this.prefix, revision, WATCH_HOLD_MS, call);
    // A watch can stay silent forever while other calls are answered, so the prefix is listed again
    // after a failed watch.
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
