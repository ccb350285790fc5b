/**
 * Shares a few tries of each pass among many waiting steps, some of which may fit nowhere for long.
 *
 * Steps whose last try did not fail are tried in their given order. Beside them come some steps whose
 * last try failed, the oldest failure first, so that each of them is tried again after a bounded number
 * of passes, however many steps come meanwhile.
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
   * @param count - highest number of steps to choose whose last try did not fail; half as many are chosen
   *   of those whose last try failed, or as many as the former leave
   * @returns the chosen steps, in the order in which to try them
   */
  next(steps: readonly OwnedStep[], count: number): readonly OwnedStep[] {
    const fresh = steps.filter((step) => !this.hasFailed(step));
    const failed = steps
      .filter((step) => this.hasFailed(step))
      .sort((left, right) => this.failureOf(left) - this.failureOf(right));
    const chosen = fresh.slice(0, count);
    return [...chosen, ...failed.slice(0, Math.max(Math.ceil(count / 2), count - chosen.length))];
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

  private failureOf(step: OwnedStep): number {
    return this.failures.get(step) ?? 0;
  }
}
