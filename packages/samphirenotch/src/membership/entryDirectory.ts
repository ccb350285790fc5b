/**
 * The live entries according to the store. Registers this entry under its lease and watches the
 * others.
 */
import { partLog } from '../observability/log.js';
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { PrefixWatcher } from './prefixWatcher.js';
import type { Session } from './session.js';
import { ENTRIES_PREFIX, parseEntryRecord, type EntryRecord } from './storeKeys.js';

const REGISTER_TIMEOUT_MS = 1000;
const REGISTER_RETRY_MS = 500;

const log = partLog('entries');

/** A live entry and when this entry first saw it. */
export interface KnownEntry extends EntryRecord {
  /** Monotonic time at which it was first seen, in milliseconds. */
  readonly firstSeenMs: number;
}

/** The entries registered in the store. */
export class EntryDirectory {
  private readonly watcher: PrefixWatcher;

  private known: readonly KnownEntry[] = [];

  private leaving = false;

  private registeredLeaseId: string | undefined;

  private readonly listeners: (() => void)[] = [];

  /**
   * @param store - the platform's store
   * @param clock - for waits and deadlines
   * @param session - provides the lease of this entry
   * @param self - the record under which this entry is registered
   * @param seed - seed of the jitter of retries
   */
  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly session: Session,
    private readonly self: Omit<EntryRecord, 'leaving'>,
    seed: number,
  ) {
    this.watcher = new PrefixWatcher(store, clock, ENTRIES_PREFIX, seed);
    this.watcher.onChange(() => this.refresh());
  }

  /**
   * Returns the live entries, including this one once it is registered.
   *
   * @returns the entries at the last update from the store
   */
  entries(): readonly KnownEntry[] {
    return this.known;
  }

  /**
   * Checks whether this entry is registered in the store under its current lease.
   *
   * @returns true if the other entries can see it
   */
  isRegistered(): boolean {
    const lease = this.session.current();
    return lease !== undefined && lease.id === this.registeredLeaseId;
  }

  /**
   * Registers a listener that is called after changes of the directory.
   *
   * @param listener - called without arguments
   */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Registers this entry as shutting down. */
  async leave(): Promise<void> {
    this.leaving = true;
    this.registeredLeaseId = undefined;
    await this.register();
  }

  /**
   * Watches the entries and keeps this one registered until the signal aborts.
   *
   * @param signal - ends the loops
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.watcher.run(signal), this.keepRegistered(signal)]);
  }

  private async keepRegistered(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.isRegistered() || !this.isListed()) await this.register();
      await this.clock.sleep(REGISTER_RETRY_MS, signal);
    }
  }

  private isListed(): boolean {
    return this.known.some(({ id, leaving }) => id === this.self.id && leaving === this.leaving);
  }

  private async register(): Promise<void> {
    const lease = this.session.current();
    if (!lease) return;
    const key = `${ENTRIES_PREFIX}${this.self.id}`;
    const value = JSON.stringify({ ...this.self, leaving: this.leaving });
    const expectedRevision = this.watcher.keyValues().get(key)?.revision ?? 0;
    const swap = { key, expectedRevision, value, leaseId: lease.id };
    const call = callWithin(this.clock, REGISTER_TIMEOUT_MS, lease.signal);
    const swapped = await this.store.swap(swap, call);
    if (!swapped.ok) {
      log.debug('This entry was not registered.', { reason: swapped.val.message });
      return;
    }
    if (swapped.val.kind === 'conflict') {
      if (swapped.val.current) this.applyConfirmed(swapped.val.current);
      return;
    }
    this.registeredLeaseId = lease.id;
    this.applyConfirmed({ key, value, revision: swapped.val.revision });
  }

  private applyConfirmed(change: { key: string; value: string; revision: number }): void {
    this.watcher.applyConfirmed(change);
    this.refresh();
  }

  private refresh(): void {
    const nowMs = this.clock.monotonicMs();
    const before = new Map(this.known.map((entry) => [entry.id, entry.firstSeenMs]));
    this.known = [...this.watcher.keyValues().values()]
      .map(({ value }) => parseEntryRecord(value))
      .filter((record) => record !== undefined)
      .map((record) => ({ ...record, firstSeenMs: before.get(record.id) ?? nowMs }));
    this.listeners.forEach((listener) => listener());
  }
}
