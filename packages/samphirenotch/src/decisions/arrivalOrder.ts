/**
 * Baseline: tasks are placed in the order in which they came.
 */
import type { QueuedTask, QueueOrder } from './placementPolicy.js';

/** Orders by arrival. */
export class ArrivalOrder implements QueueOrder {
  /**
   * Sorts by arrival.
   *
   * @param tasks - queued tasks
   * @returns the tasks, oldest first
   */
  order(tasks: readonly QueuedTask[]): readonly QueuedTask[] {
    return [...tasks].sort((left, right) => left.enqueuedAtMs - right.enqueuedAtMs);
  }
}
