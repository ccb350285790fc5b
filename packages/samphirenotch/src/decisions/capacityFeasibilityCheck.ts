/**
 * Names a job that fits no worker it may use before it has waited for one.
 */
import type { Size } from '../infrastructure/worker.js';
import type { LargestWorker, Infeasibility, FeasibilityCheck } from './feasibilityCheck.js';

const DIMENSIONS = ['milliCores', 'memoryMb', 'accelerators'] as const;

const fits = (requested: Size, capacity: Size): boolean =>
  DIMENSIONS.every((dimension) => requested[dimension] <= capacity[dimension]);

/** Judges by capacity and by attempts. */
export class CapacityFeasibilityCheck implements FeasibilityCheck {
  /**
   * Judges a job.
   *
   * @param declaredSize - declared size
   * @param largestWorkers - the largest workers that the job may use; none while they are not known
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
