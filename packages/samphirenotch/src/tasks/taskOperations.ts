/**
 * Commands and queries on tasks, implemented locally and for a remote owner.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { TaskExplanation, TaskView } from './taskView.js';

/** A task to be submitted to a partition. */
export interface TaskSubmission {
  /** Id of the new job; it identifies repeated submissions. */
  readonly jobId: string;
  /** Resource name of the partition. */
  readonly partition: string;
  readonly taskClass: string;
  readonly tenant: string;
  readonly payload: string;
}

/** Filter for listing the jobs of one partition. */
export interface TaskSelection {
  /** Resource name of the partition. */
  readonly partition: string;
  /** Only jobs whose id sorts after this one. */
  readonly afterId: string;
  /** Maximum number of jobs. */
  readonly limit: number;
  readonly tenant?: string | undefined;
  readonly taskClass?: string | undefined;
  readonly state?: string | undefined;
}

/** Commands that change tasks. */
export interface TaskCommands {
  /**
   * Submits a task; resolves once it is durable. Idempotent: a repeated job id yields the same job.
   */
  submit(submission: TaskSubmission, call: Call): Promise<Result<TaskView, Failure>>;
  /**
   * Cancels a job; resolves once the cancellation is durable. If the job ends before the deadline
   * of the call, the result shows its final state.
   */
  cancel(jobId: string, call: Call): Promise<Result<TaskView, Failure>>;
}

/** Queries about tasks. */
export interface TaskQueries {
  /** Shows the durable state of a job. */
  show(jobId: string, call: Call): Promise<Result<TaskView, Failure>>;
  /** Lists jobs in the order of their ids. */
  list(selection: TaskSelection, call: Call): Promise<Result<readonly TaskView[], Failure>>;
  /** Explains why a job waits, or why it runs on its worker. */
  explain(jobId: string, call: Call): Promise<Result<TaskExplanation, Failure>>;
  /**
   * Passes on the present state of a job and each change. Resolves when the job has ended or the
   * call is cancelled.
   */
  follow(
    jobId: string,
    onView: (view: TaskView) => void,
    call: Call,
  ): Promise<Result<void, Failure>>;
}
