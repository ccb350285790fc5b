/**
 * Names a job that fits no worker it may use before it has waited for one.
 */
import type { Size } from '../infrastructure/worker.js';
import type { CapacityOffer, Impossibility, ImpossibleJobs } from './impossibleJobs.js';

const DIMENSIONS = ['milliCores', 'memoryMb', 'accelerators'] as const;

const fits = (wanted: Size, capacity: Size): boolean =>
  DIMENSIONS.every((dimension) => wanted[dimension] <= capacity[dimension]);

/** Judges by capacity and by attempts. */
export class CapacityAwareImpossibleJobs implements ImpossibleJobs {
  /**
   * Judges a job.
   *
   * @param declared - declared size
   * @param offers - the largest workers that the job may use; none while they are not known
   * @param failedAttempts - attempts that failed
   * @param maximumAttempts - attempts that the job may use
   * @returns why it can never run, or nothing
   */
  judge(
    declared: Size,
    offers: readonly CapacityOffer[],
    failedAttempts: number,
    maximumAttempts: number,
  ): Impossibility | undefined {
    if (failedAttempts >= maximumAttempts) {
      return { reason: `${failedAttempts} attempts failed`, limit: 'maximumAttempts' };
    }
    if (offers.length === 0) return undefined;
    if (offers.some((offer) => fits(declared, offer.capacity))) return undefined;
    return this.nameLimit(declared, offers);
  }

  private nameLimit(declared: Size, offers: readonly CapacityOffer[]): Impossibility {
    for (const dimension of DIMENSIONS) {
      const largest = Math.max(...offers.map((offer) => offer.capacity[dimension]));
      const wanted = declared[dimension];
      if (wanted > largest) {
        const reason = `wants ${wanted} ${dimension}, the largest worker has ${largest}`;
        return { reason, limit: dimension };
      }
    }
    return { reason: 'no single worker has all that it wants', limit: 'capacity' };
  }
}
