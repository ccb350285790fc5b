/**
 * Keeps the sizes of recently placed tasks, so that the placement of small tasks keeps free
 * capacity in pieces that are large enough for large tasks.
 */
import type { Size } from '../infrastructure/worker.js';

/** Time for which the size of a class is kept after its last observation. */
const RETENTION_MS = 600_000;

interface ObservedSize {
  readonly size: Size;
  readonly atMs: number;
}

/** Counts how many tasks of a size fit into free capacity, by processors and memory. */
const countThatFit = (free: Size, size: Size): number => {
  const byCores = size.milliCores > 0 ? free.milliCores / size.milliCores : Infinity;
  const byMemory = size.memoryMb > 0 ? free.memoryMb / size.memoryMb : Infinity;
  const count = Math.floor(Math.min(byCores, byMemory));
  return Number.isFinite(count) ? count : 0;
};

/** Latest size of each class of tasks. */
export class LargeTaskSizes {
  private readonly observed = new Map<string, ObservedSize>();

  /**
   * Records the size of a task.
   *
   * @param taskClass - class of the task
   * @param size - size of the task
   * @param nowMs - current time, in milliseconds
   */
  observe(taskClass: string, size: Size, nowMs: number): void {
    this.observed.set(taskClass, { size, atMs: nowMs });
  }

  /**
   * Returns the largest recent size.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the size with the most processors, or `undefined` if there is no recent one
   */
  largest(nowMs: number): Size | undefined {
    let largest: Size | undefined;
    for (const [taskClass, { size, atMs }] of this.observed) {
      if (nowMs - atMs > RETENTION_MS) this.observed.delete(taskClass);
      else if (!largest || size.milliCores > largest.milliCores) largest = size;
    }
    return largest;
  }

  /**
   * Counts how many fewer large tasks fit on a worker after a placement.
   *
   * @param free - free capacity before the placement
   * @param size - size of the task that is placed
   * @param largeSize - size of a large task
   * @returns number of large tasks that no longer fit
   */
  countDisplaced(free: Size, size: Size, largeSize: Size): number {
    const after: Size = {
      milliCores: free.milliCores - size.milliCores,
      memoryMb: free.memoryMb - size.memoryMb,
      accelerators: free.accelerators - size.accelerators,
    };
    return countThatFit(free, largeSize) - countThatFit(after, largeSize);
  }
}
