/**
 * Baseline interference model: no class slows another one.
 */
import type { InterferenceModel } from './interferenceModel.js';

/** Predicts no interference. */
export class NoInterference implements InterferenceModel {
  /**
   * Predicts no slowdown.
   *
   * @returns 1
   */
  predict(): number {
    return 1;
  }

  /** Does nothing: this policy does not learn. */
  observe(): void {}
}
