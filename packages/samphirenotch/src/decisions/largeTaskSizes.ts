/**
 * Remembers the largest tasks that were placed lately, so that small ones leave room for more.
 */
import type { Size } from '../infrastructure/worker.js';

const RETENTION_MS = 600_000;

interface ObservedSize {
  readonly size: Size;
  readonly atMs: number;
}

const countThatFit = (free: Size, size: Size): number => {
  const byCores = size.milliCores > 0 ? free.milliCores / size.milliCores : Infinity;
  const byMemory = size.memoryMb > 0 ? free.memoryMb / size.memoryMb : Infinity;
  const count = Math.floor(Math.min(byCores, byMemory));
  return Number.isFinite(count) ? count : 0;
};

/** Sizes of classes of tasks. */
export class LargeTaskSizes {
  private readonly observed = new Map<string, ObservedSize>();

  /**
   * Learns the size of a task.
   *
   * @param taskClass - its class
   * @param size - its size
   * @param nowMs - time, in milliseconds
   */
  observe(taskClass: string, size: Size, nowMs: number): void {
    this.observed.set(taskClass, { size, atMs: nowMs });
  }

  /**
   * Finds the largest size of late.
   *
   * @param nowMs - time, in milliseconds
   * @returns the size of most processors, or nothing
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
   * Counts how many large tasks fewer fit after a placement than before.
   *
   * @param free - what is free before
   * @param size - what is placed
   * @param largeSize - size of a large task
   * @returns the difference
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
