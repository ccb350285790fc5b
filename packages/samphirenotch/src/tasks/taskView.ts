/**
 * Views of jobs for callers.
 */
import { dataCentreOf } from './jobId.js';
import type { Job, JobState } from './job.js';

/** State of a job, as shown to callers. Times are in milliseconds since the Unix epoch. */
export interface TaskView {
  /** Id of the job. */
  readonly id: string;
  readonly taskClass: string;
  readonly tenant: string;
  readonly state: JobState;
  readonly submittedAtMs: number;
  /** When the job entered its state. */
  readonly stateSinceMs: number;
  /** Number of attempts so far, including the present one. */
  readonly attempts: number;
  /** Number of attempts that were stopped or lost, after which the job was queued again. */
  readonly evictions: number;
  /** Whether a cancellation was accepted. */
  readonly cancelRequested: boolean;
  /** Worker of the present attempt. */
  readonly workerId?: string | undefined;
  /** Data centre of the present attempt. */
  readonly dataCentre?: string | undefined;
  /** Checkpoint from which the next attempt resumes. */
  readonly checkpoint?: string | undefined;
  /** Result of a completed job; otherwise the reason for the state. */
  readonly detail?: string | undefined;
  /** Name of the limit that made the job fail. */
  readonly limit?: string | undefined;
}

/** Explanation of why a job waits, or why it runs on its worker. */
export interface TaskExplanation {
  readonly jobId: string;
  readonly state: JobState;
  /** Code of the reason. */
  readonly reason: string;
  /** The reason as a sentence. */
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
