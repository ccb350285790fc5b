/**
 * Detects a job that is too large for every worker it may use, so that it is refused at once
 * instead of waiting in vain.
 */
import type { Size } from '../infrastructure/worker.js';
import type { LargestWorker, Infeasibility, FeasibilityCheck } from './feasibilityCheck.js';

const DIMENSIONS = ['milliCores', 'memoryMb', 'accelerators'] as const;

const fits = (requested: Size, capacity: Size): boolean =>
  DIMENSIONS.every((dimension) => requested[dimension] <= capacity[dimension]);

/** Checks a job against the capacity of workers and its limit of attempts. */
export class CapacityFeasibilityCheck implements FeasibilityCheck {
  /**
   * Finds the reason why a job can never run.
   *
   * @param declaredSize - size that the job declares
   * @param largestWorkers - largest workers that the job may use; empty while not known
   * @param failedAttempts - number of attempts that failed
   * @param maximumAttempts - number of attempts that the job may make
   * @returns why it can never run, or `undefined` if it may run
   */
  findInfeasibility(
    declaredSize: Size,
    largestWorkers: readonly LargestWorker[],
    failedAttempts: number,
    maximumAttempts: number,
  ): Infeasibility | undefined {
    if (failedAttempts >= maximumAttempts) {
      return { reason: `${failedAttempts} attempts failed`, limit: 'maximumAttempts' };
    }
    if (largestWorkers.length === 0) return undefined;
    if (largestWorkers.some((worker) => fits(declaredSize, worker.capacity))) return undefined;
    return this.exceededLimit(declaredSize, largestWorkers);
  }

  private exceededLimit(
    declaredSize: Size,
    largestWorkers: readonly LargestWorker[],
  ): Infeasibility {
    for (const dimension of DIMENSIONS) {
      const largest = Math.max(...largestWorkers.map((worker) => worker.capacity[dimension]));
      const requested = declaredSize[dimension];
      if (requested > largest) {
        const reason = `wants ${requested} ${dimension}, the largest worker has ${largest}`;
        return { reason, limit: dimension };
      }
    }
    return { reason: 'no single worker has all that it wants', limit: 'capacity' };
  }
}
