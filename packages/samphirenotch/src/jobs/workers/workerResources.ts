/**
 * The account of one worker's room: nothing else keeps the worker from taking more than it holds.
 */
import { fitsIn, minusSize, NO_SIZE, plusSize, sumSizes } from '../../infrastructure/sizes.js';
import type { Size } from '../../infrastructure/worker.js';

/** What is taken of a worker. */
export class WorkerResources {
  private used = NO_SIZE;

  /** Room of runs that are being stopped because no open task has them. */
  private usedByUnknown = NO_SIZE;

  /** What is left of a capacity, until something is taken or given back: decisions read it often. */
  private cachedFree: { readonly capacity: Size; readonly free: Size } | undefined;

  /**
   * Takes room for a run.
   *
   * @param size - the room
   */
  reserve(size: Size): void {
    this.used = plusSize(this.used, size);
    this.cachedFree = undefined;
  }

  /**
   * Gives the room of a run back.
   *
   * @param size - the room
   */
  release(size: Size): void {
    this.used = minusSize(this.used, size);
    this.cachedFree = undefined;
  }

  /**
   * Sets the room of runs that no open task has.
   *
   * @param sizes - one size a run
   */
  setUnknownRuns(sizes: readonly Size[]): void {
    this.usedByUnknown = sumSizes(sizes);
    this.cachedFree = undefined;
  }

  /**
   * Tells what is left.
   *
   * @param capacity - what the worker holds
   * @returns the room; below zero where more is taken than is there
   */
  free(capacity: Size): Size {
    if (this.cachedFree?.capacity === capacity) return this.cachedFree.free;
    const free = minusSize(capacity, plusSize(this.used, this.usedByUnknown));
    this.cachedFree = { capacity, free };
    return free;
  }

  /**
   * Tells whether a run fits.
   *
   * @param capacity - what the worker holds
   * @param size - what the run asks for
   * @returns true if the room that is left holds it
   */
  fits(capacity: Size, size: Size): boolean {
    return fitsIn(size, this.free(capacity));
  }
}
