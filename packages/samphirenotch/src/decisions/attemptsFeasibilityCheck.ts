/**
 * Baseline: only a job that has used up its attempts is given up.
 */
import type { Size } from '../infrastructure/worker.js';
import type { LargestWorker, Infeasibility, FeasibilityCheck } from './feasibilityCheck.js';

/** Gives a job up after its last attempt. */
export class AttemptsFeasibilityCheck implements FeasibilityCheck {
  /**
   * Judges a job by its failures alone.
   *
   * @param declaredSize - declared size, of no influence
   * @param largestWorkers - the largest workers, of no influence
   * @param failedAttempts - attempts that failed
   * @param maximumAttempts - attempts that the job may use
   * @returns why it can never run, or nothing
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
