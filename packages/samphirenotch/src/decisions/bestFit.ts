/**
 * Baseline: the worker that is left with the least room.
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

/** Places on the candidate that the task fills most. */
export class BestFit implements PlacementPolicy {
  /**
   * Chooses the tightest candidate.
   *
   * @param task - the task
   * @param candidates - workers that have room
   * @returns the tightest of them, or nothing if there is none
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
