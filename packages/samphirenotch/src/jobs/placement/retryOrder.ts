/**
 * Shares a few tries of each pass among many waiting steps, some of which may fit nowhere for long.
 *
 * Steps whose last try did not fail come first, in their given order. The others follow, those whose
 * failure is oldest first, so that every step is tried again after a bounded number of passes.
 */
import type { OwnedStep } from '../model/ownedJob.js';

/** Remembers which steps found no worker, and chooses the steps to try next. */
export class RetryOrder {
  /** Number of the try that failed last, by step. */
  private readonly failures = new WeakMap<OwnedStep, number>();

  private failureCount = 0;

  /**
   * Chooses steps to try.
   *
   * @param steps - waiting steps, the most urgent first
   * @param count - highest number of steps to choose
   * @returns the chosen steps, in the order in which to try them
   */
  next(steps: readonly OwnedStep[], count: number): readonly OwnedStep[] {
    return steps
      .map((step) => ({ step, failure: this.failures.get(step) ?? 0 }))
      .sort((left, right) => left.failure - right.failure)
      .slice(0, count)
      .map(({ step }) => step);
  }

  /**
   * Records the result of a try.
   *
   * @param step - the step
   * @param isStarted - true if a task of the step was started
   */
  record(step: OwnedStep, isStarted: boolean): void {
    if (isStarted) {
      this.failures.delete(step);
      return;
    }
    this.failureCount += 1;
    this.failures.set(step, this.failureCount);
  }

  /**
   * Tells whether the last try of a step failed.
   *
   * @param step - the step
   * @returns true if it found no worker
   */
  hasFailed(step: OwnedStep): boolean {
    return this.failures.has(step);
  }
}
