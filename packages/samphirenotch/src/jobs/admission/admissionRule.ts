/**
 * Decides at the door which jobs are turned away before anything is stored for them.
 */
import type { JobSpec } from '../model/jobSpec.js';
import type { Queue } from '../model/siteConfiguration.js';

/** A job as a caller hands it in. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly queue: Queue;
  readonly job: JobSpec;
}

/** Why a job is turned away, and when its caller may come back. */
export interface Refusal {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** One reason for which jobs are turned away. */
export interface AdmissionRule {
  /**
   * Decides about a job. What is turned away never runs unless it is handed in again.
   *
   * @param submitted - the job
   * @returns why it is turned away; undefined if this rule has nothing against it
   */
  check(submitted: SubmittedJob): Refusal | undefined;
}
