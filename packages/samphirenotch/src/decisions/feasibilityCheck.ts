/**
 * Distinguishes jobs that can never run from jobs that only have to wait.
 */
import type { Size } from '../infrastructure/worker.js';

/** Capacity of one of the largest workers that a job may use. */
export interface LargestWorker {
  readonly dataCentre: string;
  readonly capacity: Size;
}

/** Why a job can never run. */
export interface Infeasibility {
  /** Explanation for people. */
  readonly reason: string;
  /** Name of the limit that the job exceeds. */
  readonly limit: string;
}

/** A policy that detects jobs that can never run. */
export interface FeasibilityCheck {
  /**
   * Returns why the job can never run, or `undefined` if it may run. `largestWorkers` is empty
   * while the workers are not known.
   */
  findInfeasibility(
    declaredSize: Size,
    largestWorkers: readonly LargestWorker[],
    failedAttempts: number,
    maximumAttempts: number,
  ): Infeasibility | undefined;
}
