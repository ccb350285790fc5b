/**
 * Baseline: the first worker that has room.
 */
import type { PlacementCandidate, PlacementPolicy, PlacementTask } from './placementPolicy.js';

/** Places on the first candidate. */
export class FirstFit implements PlacementPolicy {
  /**
   * Chooses the first candidate.
   *
   * @param task - the task, of no influence
   * @param candidates - workers that have room
   * @returns the first of them, or nothing if there is none
   */
  choose(
    task: PlacementTask,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    return candidates[0];
  }
}
