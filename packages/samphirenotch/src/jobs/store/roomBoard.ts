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

import { decodeRoom, NO_ROOM, type ShareRoom } from '../model/shareRoom.js';
import { ROOMS_PREFIX } from './jobKeys.js';

/** Time for a read, in milliseconds: without an answer the former news serve. */
const READ_MS = 250;

/** Ends no read early. */
const NEVER = new AbortController().signal;

/** Reads rooms on demand. */
export class RoomBoard {
  private readonly log = partLog('rooms');

  private readonly rooms = new Map<string, ShareRoom>();

  private readMs = Number.NEGATIVE_INFINITY;

  private reading: Promise<void> | undefined;

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
  of(share: string): ShareRoom {
    return this.rooms.get(share) ?? NO_ROOM;
  }

  /** @returns how old the news are, in milliseconds */
  ageMs(): number {
    return this.clock.monotonicMs() - this.readMs;
  }

  /**
   * Reads anew what is older than it may be; calls at the same time share one read.
   *
   * @param longestAgeMs - age up to which news serve, in milliseconds
   */
  async refresh(longestAgeMs: number): Promise<void> {
    if (this.ageMs() <= longestAgeMs) return;
    this.reading ??= this.read().finally(() => {
      this.reading = undefined;
    });
    await this.reading;
  }

  private async read(): Promise<void> {
    const sentMs = this.clock.monotonicMs();
    const listing = await this.store.list(ROOMS_PREFIX, callWithin(this.clock, READ_MS, NEVER));
    if (listing.err) return;
    this.readMs = sentMs;
    listing.val.items.forEach(({ key, value }) => {
      const share = key.slice(ROOMS_PREFIX.length);
      try {
        this.rooms.set(share, decodeRoom(value));
      } catch (error) {
        this.log.error('The room of a share cannot be read', { share, reason: String(error) });
      }
    });
  }
}
