/**
 * Baseline: tasks use what was declared.
 */
import type { Size } from '../infrastructure/worker.js';
import type { SizeEstimator } from './sizeEstimator.js';

/** Believes the declared sizes. */
export class DeclaredSize implements SizeEstimator {
  /**
   * Returns the declared size.
   *
   * @param taskClass - the class, of no influence
   * @param declared - size that was declared
   * @returns the same size
   */
  estimate(taskClass: string, declared: Size): Size {
    return declared;
  }

  /** Learns nothing. */
  observe(): void {}
}
