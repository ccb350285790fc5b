/**
 * Tracks the resources in use on one worker. Nothing else keeps a worker from being overcommitted:
 * it does not check its capacity itself.
 */
import { fitsIn, minusSize, NO_SIZE, plusSize, sumSizes } from '../../infrastructure/sizes.js';
import type { Size } from '../../infrastructure/worker.js';

/** Resources in use on one worker. */
export class WorkerResources {
  private used = NO_SIZE;

  /** Resources of runs that are being stopped because they belong to no open task. */
  private usedByUnknown = NO_SIZE;

  /** Resources that are kept for runs which are about to start. */
  private held = NO_SIZE;

  /** Free resources of a capacity, cached until they change because decisions read them often. */
  private cachedFree: { readonly capacity: Size; readonly free: Size } | undefined;

  /**
   * Reserves the resources of a run.
   *
   * @param size - the resources
   */
  reserve(size: Size): void {
    this.used = plusSize(this.used, size);
    this.cachedFree = undefined;
  }

  /**
   * Releases the resources of a run.
   *
   * @param size - the resources
   */
  release(size: Size): void {
    this.used = minusSize(this.used, size);
    this.cachedFree = undefined;
  }

  /**
   * Keeps resources for a run that is about to start.
   *
   * @param size - the resources
   */
  hold(size: Size): void {
    this.held = plusSize(this.held, size);
    this.cachedFree = undefined;
  }

  /**
   * Gives resources up that are kept for a run.
   *
   * @param size - the resources
   */
  unhold(size: Size): void {
    this.held = minusSize(this.held, size);
    this.cachedFree = undefined;
  }

  /**
   * Sets the resources of the runs that belong to no open task.
   *
   * @param sizes - one size per run
   */
  setUnknownRuns(sizes: readonly Size[]): void {
    this.usedByUnknown = sumSizes(sizes);
    this.cachedFree = undefined;
  }

  /**
   * Computes the free resources.
   *
   * @param capacity - capacity of the worker
   * @returns the resources that are neither reserved nor held; negative where there is too little
   */
  free(capacity: Size): Size {
    if (this.cachedFree?.capacity === capacity) return this.cachedFree.free;
    const free = minusSize(this.unreserved(capacity), this.held);
    this.cachedFree = { capacity, free };
    return free;
  }

  /**
   * Checks whether all that is reserved is within a capacity. What is held is not in use yet.
   *
   * @param capacity - capacity of the worker
   * @returns false if more is reserved than there is
   */
  isWithin(capacity: Size): boolean {
    return fitsIn(NO_SIZE, this.unreserved(capacity));
  }

  /**
   * Checks whether a run fits into the free resources.
   *
   * @param capacity - capacity of the worker
   * @param size - resources of the run
   * @returns true if it fits
   */
  fits(capacity: Size, size: Size): boolean {
    return fitsIn(size, this.free(capacity));
  }

  private unreserved(capacity: Size): Size {
    return minusSize(capacity, plusSize(this.used, this.usedByUnknown));
  }
}
