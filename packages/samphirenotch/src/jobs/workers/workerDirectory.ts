/**
 * Keeps up with the workers that describe themselves in the store.
 */
import type { KeyValue } from '../../infrastructure/keyValueStore.js';
import type { WorkerDescription } from '../../infrastructure/taskWorker.js';
import type { Clock } from '../../time/clock.js';

import type { SiteCodec } from '../model/siteCodec.js';
import type { StoreListener } from '../store/storeFollower.js';

/** Time that an entry may be missing before it counts as gone, in milliseconds. */
const MISSING_TIMEOUT_MS = 2_500;

/** How long a watch is held at most while an entry is missing, in milliseconds. */
const MISSING_WATCH_MS = 250;

/** Hears of workers. */
export interface DirectoryListener {
  onWorker(description: WorkerDescription): void;
  onUnlisted(id: string): void;
}

/** Holds the listed workers. */
export class WorkerDirectory implements StoreListener {
  private readonly workers = new Map<string, WorkerDescription>();

  /** Keys that were removed, with the time at which this was noticed. */
  private readonly removedAtMs = new Map<string, number>();

  private isComplete = false;

  /**
   * @param codec - reads items
   * @param listener - hears of workers
   * @param clock - time
   */
  constructor(
    private readonly codec: SiteCodec,
    private readonly listener: DirectoryListener,
    private readonly clock: Clock,
  ) {}

  /** @returns true once the directory was listed */
  get complete(): boolean {
    return this.isComplete;
  }

  /** @returns how long a watch of the directory may be held, in milliseconds */
  longestHoldMs(): number {
    return this.removedAtMs.size > 0 ? MISSING_WATCH_MS : Infinity;
  }

  onListing(items: readonly KeyValue[]): void {
    const present = new Set(items.map(({ key }) => key));
    const nowMs = this.clock.monotonicMs();
    [...this.workers.keys()]
      .filter((key) => !present.has(key) && !this.removedAtMs.has(key))
      .forEach((key) => this.removedAtMs.set(key, nowMs));
    items.forEach(({ key, value }) => this.onChange(key, value));
    this.isComplete = true;
  }

  onChange(key: string, value: string | undefined): void {
    const known = this.workers.get(key);
    if (value === undefined) {
      // Entries that lapsed with an outage of the store come back soon.
      if (known && !this.removedAtMs.has(key)) this.removedAtMs.set(key, this.clock.monotonicMs());
      return;
    }
    const description = this.codec.readWorker(key, value);
    if (!description) return;
    this.removedAtMs.delete(key);
    this.workers.set(key, description);
    this.listener.onWorker(description);
  }

  onCaughtUp(_revision: number, askedMs: number): void {
    this.removedAtMs.forEach((sinceMs, key) => {
      // An answer that was asked for earlier may have waited to be read.
      if (askedMs - sinceMs < MISSING_TIMEOUT_MS) return;
      this.removedAtMs.delete(key);
      const known = this.workers.get(key);
      this.workers.delete(key);
      if (known) this.listener.onUnlisted(known.id);
    });
  }
}
