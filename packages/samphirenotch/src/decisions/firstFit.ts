/**
 * Baseline placement: first fit, the first worker with enough free capacity.
 */
import type { PlacementCandidate, PlacementPolicy, PlacementTask } from './placementPolicy.js';

/** Places a task on the first candidate. */
export class FirstFit implements PlacementPolicy {
  /**
   * Chooses the first candidate.
   *
   * @param task - task to place; ignored
   * @param candidates - workers with enough free capacity
   * @returns the first of them, or `undefined` if there are none
   */
  choose(
    task: PlacementTask,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    return candidates[0];
  }
}
