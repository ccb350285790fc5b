/**
 * Baseline queue order: tasks are placed in order of arrival.
 */
import type { QueuedTask, QueueOrder } from './placementPolicy.js';

/** Orders queued tasks by arrival. */
export class ArrivalOrder implements QueueOrder {
  /**
   * Sorts tasks by the time at which they were enqueued.
   *
   * @param tasks - queued tasks
   * @returns the tasks, oldest first
   */
  order(tasks: readonly QueuedTask[]): readonly QueuedTask[] {
    return [...tasks].sort((left, right) => left.enqueuedAtMs - right.enqueuedAtMs);
  }
}
