/**
 * Baseline: a job counts as infeasible only after it has used all its attempts.
 */
import type { Size } from '../infrastructure/worker.js';
import type { LargestWorker, Infeasibility, FeasibilityCheck } from './feasibilityCheck.js';

/** Checks a job against its limit of attempts only. */
export class AttemptsFeasibilityCheck implements FeasibilityCheck {
  /**
   * Checks whether the job has attempts left.
   *
   * @param declaredSize - size that the job declares; ignored
   * @param largestWorkers - largest workers that the job may use; ignored
   * @param failedAttempts - number of attempts that failed
   * @param maximumAttempts - number of attempts that the job may make
   * @returns why it can never run, or `undefined` while it has attempts left
   */
  findInfeasibility(
    declaredSize: Size,
    largestWorkers: readonly LargestWorker[],
    failedAttempts: number,
    maximumAttempts: number,
  ): Infeasibility | undefined {
    if (failedAttempts < maximumAttempts) return undefined;
    return { reason: `${failedAttempts} attempts failed`, limit: 'maximumAttempts' };
  }
}
