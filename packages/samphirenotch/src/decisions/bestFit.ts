/**
 * Baseline: the worker that is left with the least room.
 */
import type { PlacementCandidate, PlacementPolicy, PlacementTask } from './placementPolicy.js';

const shareLeft = (free: number, wanted: number, capacity: number): number =>
  capacity === 0 ? 0 : (free - wanted) / capacity;

const roomLeft = (task: PlacementTask, candidate: PlacementCandidate): number => {
  const { free, capacity } = candidate;
  const cores = shareLeft(free.milliCores, task.size.milliCores, capacity.milliCores);
  const memory = shareLeft(free.memoryMb, task.size.memoryMb, capacity.memoryMb);
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
    let least = Infinity;
    for (const candidate of candidates) {
      const left = roomLeft(task, candidate);
      if (left >= least) continue;
      least = left;
      best = candidate;
    }
    return best;
  }
}
