/**
 * Follows the directory of workers in the store, where each worker keeps a description of itself.
 */
import type { KeyValue } from '../../infrastructure/keyValueStore.js';
import type { WorkerDescription } from '../../infrastructure/taskWorker.js';
import type { Clock } from '../../time/clock.js';

import type { SiteCodec } from '../model/siteCodec.js';
import { applyItem, type StoreListener } from '../store/storeFollower.js';

/**
 * Time for which a worker's key may be missing, or name no worker, before the worker counts as
 * gone, in milliseconds.
 */
const MISSING_TIMEOUT_MS = 2_500;

/** Longest wait of a watch meanwhile, in milliseconds. */
const MISSING_WATCH_MS = 250;

/** Receives changes of the directory. */
export interface DirectoryListener {
  /**
   * A worker was added or has changed its description.
   *
   * @param laterThan - revision of the store at which the worker had another description; undefined if none is
   *   known
   */
  onWorker(description: WorkerDescription, laterThan: number | undefined): void;
  /** A worker has been missing from the directory for too long, or its entry named no worker. */
  onUnlisted(id: string): void;
}

/** A worker that is listed. */
interface ListedWorker {
  readonly description: WorkerDescription;
  /** Its text in the store without the heartbeat. */
  readonly text: string;
}

/** Workers listed in the store. */
export class WorkerDirectory implements StoreListener {
  private readonly workers = new Map<string, ListedWorker>();

  /**
   * Keys that were removed or name no worker any more, with the monotonic time at which this was
   * noticed, in milliseconds.
   */
  private readonly removedAtMs = new Map<string, number>();

  private isComplete = false;

  /** Revision of the store up to which the directory is known. */
  private revision: number | undefined;

  /**
   * @param codec - decodes descriptions of workers
   * @param listener - receives changes of the directory
   * @param clock - clock of this process
   */
  constructor(
    private readonly codec: SiteCodec,
    private readonly listener: DirectoryListener,
    private readonly clock: Clock,
  ) {}

  /** @returns true once the whole directory has been listed */
  get complete(): boolean {
    return this.isComplete;
  }

  /** @returns longest wait of a watch of the directory, in milliseconds */
  longestHoldMs(): number {
    return this.removedAtMs.size > 0 ? MISSING_WATCH_MS : Infinity;
  }

  onListing(items: readonly KeyValue[]): void {
    const present = new Set(items.map(({ key }) => key));
    const nowMs = this.clock.monotonicMs();
    [...this.workers.keys()]
      .filter((key) => !present.has(key) && !this.removedAtMs.has(key))
      .forEach((key) => this.removedAtMs.set(key, nowMs));
    items.forEach(({ key, value }) => applyItem(key, () => this.onChange(key, value)));
    this.isComplete = true;
  }

  onChange(key: string, value: string | undefined): void {
    const known = this.workers.get(key);
    const text = value === undefined ? undefined : this.codec.withoutHeartbeat(value);
    if (known && known.text === text) {
      this.removedAtMs.delete(key);
      return;
    }
    const description = value === undefined ? undefined : this.codec.readWorker(key, value);
    if (!description || text === undefined) {
      // Keys whose leases expired during an outage of the store come back soon, and an entry that
      // another writer has spoiled is put right by the worker's next write.
      if (known && !this.removedAtMs.has(key)) this.removedAtMs.set(key, this.clock.monotonicMs());
      return;
    }
    this.removedAtMs.delete(key);
    this.workers.set(key, { description, text });
    // The store may show several changes of a key as one.
    this.listener.onWorker(description, known && this.revision);
  }

  onCaughtUp(revision: number, askedMs: number): void {
    this.revision = revision;
    this.removedAtMs.forEach((sinceMs, key) => {
      // An answer requested earlier may have been read late; only the time of the request counts.
      if (askedMs - sinceMs < MISSING_TIMEOUT_MS) return;
      this.removedAtMs.delete(key);
      const known = this.workers.get(key);
      this.workers.delete(key);
      if (known) this.listener.onUnlisted(known.description.id);
    });
  }
}
