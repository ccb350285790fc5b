/**
 * Cache of the capacity of every share, read from the store on demand.
 *
 * Capacities change constantly and few entries need them at any moment. A watch would wake every
 * entry for nothing.
 */
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';

import { decodeShareCapacity, NO_CAPACITY, type ShareCapacity } from '../model/shareCapacity.js';
import { ROOMS_PREFIX } from './jobKeys.js';

/** Timeout of a read, in milliseconds. After it, the values read before are used. */
const READ_TIMEOUT_MS = 250;

/** Signal that is never aborted: no read is ended early. */
const NEVER_ABORTED = new AbortController().signal;

/** Reads and caches the capacities of shares. */
export class ShareCapacityCache {
  private readonly log = partLog('rooms');

  private readonly capacities = new Map<string, ShareCapacity>();

  private readAtMs = Number.NEGATIVE_INFINITY;

  private pendingRead: Promise<void> | undefined;

  /**
   * @param store - the store
   * @param clock - time
   */
  constructor(
    private readonly store: TransactionStore,
    private readonly clock: Clock,
  ) {}

  /**
   * Returns the capacity of a share as last read.
   *
   * @param share - id of the share
   * @returns the capacity
   */
  capacityOf(share: string): ShareCapacity {
    return this.capacities.get(share) ?? NO_CAPACITY;
  }

  /** @returns age of the cached capacities, in milliseconds */
  ageMs(): number {
    return this.clock.monotonicMs() - this.readAtMs;
  }

  /**
   * Reads the capacities again if they are too old. Concurrent calls share one read.
   *
   * @param maximumAgeMs - age up to which the cached capacities are used, in milliseconds
   */
  async refresh(maximumAgeMs: number): Promise<void> {
    if (this.ageMs() <= maximumAgeMs) return;
    this.pendingRead ??= this.read().finally(() => {
      this.pendingRead = undefined;
    });
    await this.pendingRead;
  }

  private async read(): Promise<void> {
    const sentMs = this.clock.monotonicMs();
    const listing = await this.store.list(
      ROOMS_PREFIX,
      callWithin(this.clock, READ_TIMEOUT_MS, NEVER_ABORTED),
    );
    if (listing.err) return;
    this.readAtMs = sentMs;
    listing.val.items.forEach(({ key, value }) => {
      const share = key.slice(ROOMS_PREFIX.length);
      try {
        this.capacities.set(share, decodeShareCapacity(value));
      } catch (error) {
        this.log.error('Cannot decode the capacity of a share', { share, reason: String(error) });
      }
    });
  }
}
