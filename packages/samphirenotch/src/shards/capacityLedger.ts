/**
 * What one worker has given out: sizes of attempts, room for requests, and request slots.
 *
 * Until an inventory was taken the worker counts as full.
 */
import type { Size } from '../infrastructure/worker.js';
import { fitsIn, leftOf, NO_SIZE, sumSizes } from '../infrastructure/sizes.js';

/** The account of one worker. */
export class CapacityLedger {
  private readonly sizes = new Map<string, Size>();

  private isComplete = false;

  private ownSlots = 0;

  private earlierOwnerSlots = 0;

  /**
   * @param capacity - what the worker has
   * @param slots - request slots of the worker
   */
  constructor(
    private readonly capacity: Size,
    private readonly slots: number,
  ) {}

  /** Says that everything that the worker holds is counted here. */
  markComplete(): void {
    this.isComplete = true;
  }

  /** Counts the worker as full until its inventory is known again. */
  markIncomplete(): void {
    this.isComplete = false;
  }

  /**
   * Room for another attempt.
   *
   * @param requestRoom - what is set aside for requests
   * @returns what is not given out
   */
  freeSize(requestRoom: Size): Size {
    if (!this.isComplete) return NO_SIZE;
    return leftOf(this.capacity, sumSizes([requestRoom, ...this.sizes.values()]));
  }

  /**
   * Counts a new attempt if there is room.
   *
   * @param attemptId - the attempt
   * @param size - its size
   * @param requestRoom - what is set aside for requests
   * @returns whether it is counted now
   */
  tryAdd(attemptId: string, size: Size, requestRoom: Size): boolean {
    if (this.sizes.has(attemptId)) return false;
    if (!fitsIn(size, this.freeSize(requestRoom))) return false;
    this.sizes.set(attemptId, size);
    return true;
  }

  /**
   * Counts an attempt that the worker holds, room or not.
   *
   * @param attemptId - the attempt
   * @param size - what was given to it, or what it uses beyond that
   */
  set(attemptId: string, size: Size): void {
    this.sizes.set(attemptId, size);
  }

  /**
   * Frees the room of an attempt that surely runs no more.
   *
   * @param attemptId - the attempt
   */
  remove(attemptId: string): void {
    this.sizes.delete(attemptId);
  }

  /**
   * Request slots that may be taken.
   *
   * @returns the number, none while the worker counts as full
   */
  freeSlots(): number {
    if (!this.isComplete) return 0;
    return Math.max(0, this.slots - this.busySlots());
  }

  /**
   * Request slots in use, also by requests of an earlier owner.
   *
   * @returns the number
   */
  busySlots(): number {
    return this.ownSlots + this.earlierOwnerSlots;
  }

  /**
   * Request slots held by this owner.
   *
   * @returns the number
   */
  heldSlots(): number {
    return this.ownSlots;
  }

  /**
   * Takes a request slot.
   *
   * @returns whether one was free
   */
  tryTakeSlot(): boolean {
    if (this.freeSlots() === 0) return false;
    this.ownSlots += 1;
    return true;
  }

  /**
   * Gives a slot back.
   *
   * @param isProven - whether the request surely runs no more; if not, the slot stays in use until
   * an inventory shows otherwise
   */
  releaseSlot(isProven: boolean): void {
    this.ownSlots -= 1;
    if (!isProven) this.earlierOwnerSlots += 1;
  }

  /**
   * Takes in how many requests a claimed worker has in progress that are not of this owner.
   *
   * @param busy - requests in progress
   */
  setEarlierOwnerSlots(busy: number): void {
    this.earlierOwnerSlots = Math.max(0, busy - this.ownSlots);
  }

  /**
   * Lowers the number of slots in use by requests that are not held here.
   *
   * @param busy - requests that the worker had in progress
   * @param heldThroughout - slots held here during the whole inquiry
   */
  lowerEarlierOwnerSlots(busy: number, heldThroughout: number): void {
    this.earlierOwnerSlots = Math.min(this.earlierOwnerSlots, Math.max(0, busy - heldThroughout));
  }
}
