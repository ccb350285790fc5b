/**
 * Baseline placement: best fit, the worker that has the least free capacity left afterwards.
 */
import type { PlacementCandidate, PlacementPolicy, PlacementTask } from './placementPolicy.js';

const remainingShare = (free: number, requested: number, capacity: number): number =>
  capacity === 0 ? 0 : (free - requested) / capacity;

const remainingRoom = (task: PlacementTask, candidate: PlacementCandidate): number => {
  const { free, capacity } = candidate;
  const cores = remainingShare(free.milliCores, task.size.milliCores, capacity.milliCores);
  const memory = remainingShare(free.memoryMb, task.size.memoryMb, capacity.memoryMb);
  return cores + memory;
};

/** Places a task on the candidate that it fills most, by processors and memory. */
export class BestFit implements PlacementPolicy {
  /**
   * Chooses the candidate with the least free capacity after the placement.
   *
   * @param task - task to place
   * @param candidates - workers with enough free capacity
   * @returns the fullest of them, or `undefined` if there are none
   */
  choose(
    task: PlacementTask,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    let best: PlacementCandidate | undefined;
    let leastRemaining = Infinity;
    for (const candidate of candidates) {
      const remaining = remainingRoom(task, candidate);
      if (remaining >= leastRemaining) continue;
      leastRemaining = remaining;
      best = candidate;
    }
    return best;
  }
}
