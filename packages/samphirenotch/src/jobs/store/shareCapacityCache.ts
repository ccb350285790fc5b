/**
 * The room of every share as it was last read: whoever needs it asks for it.
 *
 * It changes all the time and few entries need it at a moment, so that a watch would wake every entry
 * for nothing.
 */
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';

import { decodeShareCapacity, NO_CAPACITY, type ShareCapacity } from '../model/shareCapacity.js';
import { ROOMS_PREFIX } from './jobKeys.js';

/** Time for a read, in milliseconds: without an answer the former news serve. */
const READ_TIMEOUT_MS = 250;

/** Ends no read early. */
const NEVER_ABORTED = new AbortController().signal;

/** Reads rooms on demand. */
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
   * Tells the room of a share as it was last read.
   *
   * @param share - id of the share
   * @returns the room
   */
  capacityOf(share: string): ShareCapacity {
    return this.capacities.get(share) ?? NO_CAPACITY;
  }

  /** @returns how old the news are, in milliseconds */
  ageMs(): number {
    return this.clock.monotonicMs() - this.readAtMs;
  }

  /**
   * Reads anew what is older than it may be; calls at the same time share one read.
   *
   * @param maximumAgeMs - age up to which news serve, in milliseconds
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
        this.log.error('The room of a share cannot be read', { share, reason: String(error) });
      }
    });
  }
}
