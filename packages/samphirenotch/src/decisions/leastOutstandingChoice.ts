/**
 * Baseline worker choice: the worker with the fewest requests in progress.
 */
import { SeededRandom } from './seededRandom.js';

import type { WorkerCandidate, WorkerChoice } from './workerChoice.js';

/** Chooses the worker with the fewest requests in progress; ties are broken at random. */
export class LeastOutstandingChoice implements WorkerChoice {
  private readonly random: SeededRandom;

  /**
   * @param seed - seed of the random numbers that break ties
   */
  constructor(seed: number) {
    this.random = new SeededRandom(seed);
  }

  /**
   * Chooses the candidate with the fewest busy slots.
   *
   * @param taskClass - class of the request; ignored
   * @param candidates - workers with a free slot
   * @returns the candidate with the fewest busy slots, or `undefined` if there are none
   */
  choose(taskClass: string, candidates: readonly WorkerCandidate[]): WorkerCandidate | undefined {
    if (candidates.length === 0) return undefined;
    const fewest = Math.min(...candidates.map((each) => each.busySlots));
    const tied = candidates.filter((each) => each.busySlots === fewest);
    return tied[this.random.below(tied.length)];
  }

  /** Does nothing: this policy does not learn. */
  observe(): void {}

  /** Does nothing: no state is kept per worker. */
  forget(): void {}
}
