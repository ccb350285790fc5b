/**
 * Tracks the used capacity of one worker: sizes of attempts, and request slots.
 *
 * Until the inventory of the worker is known, the worker counts as full.
 */
import type { Size } from '../infrastructure/worker.js';
import { fitsIn, remainingSize, NO_SIZE, sumSizes } from '../infrastructure/sizes.js';

/** Used and free capacity of one worker. */
export class CapacityLedger {
  /** Sizes of the attempts that use capacity, by attempt id. */
  private readonly sizes = new Map<string, Size>();

  private isComplete = false;

  /** Slots that this owner holds. */
  private ownSlots = 0;

  /** Slots used by requests of earlier owners, and by requests that were not answered. */
  private earlierOwnerSlots = 0;

  /**
   * @param capacity - total capacity of the worker
   * @param slots - number of request slots of the worker
   */
  constructor(
    private readonly capacity: Size,
    private readonly slots: number,
  ) {}

  /** Marks the ledger as complete: everything that the worker holds is counted. */
  markComplete(): void {
    this.isComplete = true;
  }

  /**
   * Marks the ledger as incomplete: the worker counts as full until its inventory is known again.
   */
  markIncomplete(): void {
    this.isComplete = false;
  }

  /**
   * Returns the capacity that is left for another attempt.
   *
   * @param requestRoom - capacity that is set aside for requests
   * @returns the free capacity, none while the worker counts as full
   */
  freeSize(requestRoom: Size): Size {
    if (!this.isComplete) return NO_SIZE;
    return remainingSize(this.capacity, sumSizes([requestRoom, ...this.sizes.values()]));
  }

  /**
   * Adds a new attempt if there is room for it.
   *
   * @param attemptId - the attempt
   * @param size - its size
   * @param requestRoom - capacity that is set aside for requests
   * @returns true if it was added; false without room, or if the attempt is counted already
   */
  tryAdd(attemptId: string, size: Size, requestRoom: Size): boolean {
    if (this.sizes.has(attemptId)) return false;
    if (!fitsIn(size, this.freeSize(requestRoom))) return false;
    this.sizes.set(attemptId, size);
    return true;
  }

  /**
   * Sets the size of an attempt that the worker holds, even if that exceeds the capacity.
   *
   * @param attemptId - the attempt
   * @param size - its reserved size, or its usage if that is larger
   */
  set(attemptId: string, size: Size): void {
    this.sizes.set(attemptId, size);
  }

  /**
   * Frees the room of an attempt that is proven not to run any more.
   *
   * @param attemptId - the attempt
   */
  remove(attemptId: string): void {
    this.sizes.delete(attemptId);
  }

  /**
   * Returns the number of free request slots.
   *
   * @returns the number, 0 while the worker counts as full
   */
  freeSlots(): number {
    if (!this.isComplete) return 0;
    return Math.max(0, this.slots - this.busySlots());
  }

  /**
   * Returns the number of request slots in use, including those used by requests of earlier owners.
   *
   * @returns the number
   */
  busySlots(): number {
    return this.ownSlots + this.earlierOwnerSlots;
  }

  /**
   * Returns the number of request slots that this owner holds.
   *
   * @returns the number
   */
  heldSlots(): number {
    return this.ownSlots;
  }

  /**
   * Takes a request slot.
   *
   * @returns true if a slot was free
   */
  tryTakeSlot(): boolean {
    if (this.freeSlots() === 0) return false;
    this.ownSlots += 1;
    return true;
  }

  /**
   * Releases a slot.
   *
   * @param isProven - whether it is proven that the request no longer runs; if not, the slot counts
   * as in use until an inventory shows that it is free
   */
  releaseSlot(isProven: boolean): void {
    this.ownSlots -= 1;
    if (!isProven) this.earlierOwnerSlots += 1;
  }

  /**
   * Sets the number of slots in use by requests of earlier owners, when the worker is claimed.
   *
   * @param busy - number of requests that the worker has in progress
   */
  setEarlierOwnerSlots(busy: number): void {
    this.earlierOwnerSlots = Math.max(0, busy - this.ownSlots);
  }

  /**
   * Lowers the number of slots in use by requests of earlier owners and by unanswered requests, if
   * an inventory shows fewer. Never raises it.
   *
   * @param busy - number of requests that the worker had in progress
   * @param heldThroughout - slots that this owner held from sending the query until its answer
   */
  lowerEarlierOwnerSlots(busy: number, heldThroughout: number): void {
    this.earlierOwnerSlots = Math.min(this.earlierOwnerSlots, Math.max(0, busy - heldThroughout));
  }
}
