/**
 * Admission control: refuses jobs on submission, before anything is stored for them.
 */
import type { JobSpec } from '../model/jobSpec.js';
import type { Queue } from '../model/siteConfiguration.js';

/** A job as submitted by a caller. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly queue: Queue;
  /** Id of the share that would decide about it. */
  readonly home: string;
  readonly job: JobSpec;
}

/** Refusal of a job: the reason and when the caller may retry. */
export interface Refusal {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** A rule that can refuse submitted jobs. */
export interface AdmissionRule {
  /**
   * Decides about a job. A refused job never runs unless it is submitted again.
   *
   * @param submitted - the job
   * @returns the refusal; undefined if this rule admits the job
   */
  check(submitted: SubmittedJob): Refusal | undefined;
  /**
   * Checks whether jobs like this one are accepted one after the other, each with all earlier ones known to the
   * entry that accepts it.
   *
   * @param job - the job
   * @returns true if several entries must not decide at the same time
   */
  isSerial(job: JobSpec): boolean;
}
