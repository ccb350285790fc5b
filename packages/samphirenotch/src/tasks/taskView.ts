/**
 * Views of jobs for callers.
 */
import { dataCentreOf } from './jobId.js';
import type { Job, JobState } from './job.js';

/** State of a job, as shown to callers. Times are in milliseconds since the Unix epoch. */
export interface TaskView {
  readonly id: string;
  readonly taskClass: string;
  readonly tenant: string;
  readonly state: JobState;
  readonly submittedAtMs: number;
  readonly stateSinceMs: number;
  readonly attempts: number;
  readonly evictions: number;
  readonly cancelRequested: boolean;
  readonly workerId?: string | undefined;
  readonly dataCentre?: string | undefined;
  readonly checkpoint?: string | undefined;
  readonly detail?: string | undefined;
  readonly limit?: string | undefined;
}

/** Explanation of why a job waits, or why it runs on its worker. */
export interface TaskExplanation {
  readonly jobId: string;
  readonly state: JobState;
  /** Code of the reason. */
  readonly reason: string;
  readonly text: string;
  /** Name of the configuration object or limit that prevents a start. */
  readonly limit?: string | undefined;
}

/**
 * Makes the view of a job.
 *
 * @param job - the job
 * @returns the view
 */
export const viewOf = (job: Job): TaskView => ({
  id: job.id,
  taskClass: job.taskClass,
  tenant: job.tenant,
  state: job.state,
  submittedAtMs: job.submittedAtMs,
  stateSinceMs: job.stateSinceMs,
  attempts: job.attempts,
  evictions: job.evictions,
  cancelRequested: job.cancelRequested,
  workerId: job.attempt?.workerId,
  dataCentre: job.attempt && dataCentreOf(job.attempt.shard),
  checkpoint: job.checkpoint,
  detail: job.detail,
  limit: job.limit,
});
