/**
 * Baseline size estimate: tasks are assumed to use exactly their declared size.
 */
import type { Size } from '../infrastructure/worker.js';
import type { SizeEstimator } from './sizeEstimator.js';

/** Takes the declared size as the estimate. */
export class DeclaredSize implements SizeEstimator {
  /**
   * Returns the declared size.
   *
   * @param taskClass - class of the task; ignored
   * @param declared - declared size
   * @returns the declared size
   */
  estimate(taskClass: string, declared: Size): Size {
    return declared;
  }

  /** Does nothing: this policy does not learn. */
  observe(): void {}
}
