/**
 * Tells jobs that can never run from jobs that have to wait.
 */
import type { Size } from '../infrastructure/worker.js';

/** Capacity of the largest workers that a job may use. */
export interface LargestWorker {
  readonly dataCentre: string;
  readonly capacity: Size;
}

/** A verdict: why a job can never run. */
export interface Infeasibility {
  readonly reason: string;
  /** Name of the limit that stops it. */
  readonly limit: string;
}

/** A policy that names jobs which can never run. */
export interface FeasibilityCheck {
  findInfeasibility(
    declaredSize: Size,
    largestWorkers: readonly LargestWorker[],
    failedAttempts: number,
    maximumAttempts: number,
  ): Infeasibility | undefined;
}
