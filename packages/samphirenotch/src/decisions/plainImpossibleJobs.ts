/**
 * Baseline: only a job that has used up its attempts is given up.
 */
import type { Size } from '../infrastructure/worker.js';
import type { CapacityOffer, Impossibility, ImpossibleJobs } from './impossibleJobs.js';

/** Gives a job up after its last attempt. */
export class PlainImpossibleJobs implements ImpossibleJobs {
  /**
   * Judges a job by its failures alone.
   *
   * @param declared - declared size, of no influence
   * @param offers - the largest workers, of no influence
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
    if (failedAttempts < maximumAttempts) return undefined;
    return { reason: `${failedAttempts} attempts failed`, limit: 'maximumAttempts' };
  }
}
