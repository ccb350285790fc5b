/**
 * Baseline worker choice: any worker with a free slot, with equal probability.
 */
import { SeededRandom } from './seededRandom.js';

import type { WorkerCandidate, WorkerChoice } from './workerChoice.js';

/** Chooses a worker at random. */
export class RandomWorkerChoice implements WorkerChoice {
  private readonly random: SeededRandom;

  /**
   * @param seed - seed of the random numbers
   */
  constructor(seed: number) {
    this.random = new SeededRandom(seed);
  }

  /**
   * Chooses a candidate at random.
   *
   * @param taskClass - class of the request; ignored
   * @param candidates - workers with a free slot
   * @returns one of them, or `undefined` if there are none
   */
  choose(taskClass: string, candidates: readonly WorkerCandidate[]): WorkerCandidate | undefined {
    if (candidates.length === 0) return undefined;
    return candidates[this.random.below(candidates.length)];
  }

  /** Does nothing: this policy does not learn. */
  observe(): void {}

  /** Does nothing: no state is kept per worker. */
  forget(): void {}
}
