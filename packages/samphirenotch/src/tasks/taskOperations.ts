/**
 * What can be done with tasks and asked of them, at whichever entry owns the job.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { TaskExplanation, TaskView } from './taskView.js';

/** A task to be accepted. */
export interface TaskSubmission {
  readonly jobId: string;
  readonly partition: string;
  readonly taskClass: string;
  readonly tenant: string;
  readonly payload: string;
}

/** Which jobs of one partition to list. */
export interface TaskSelection {
  readonly partition: string;
  /** Only jobs whose id comes after this one. */
  readonly afterId: string;
  readonly limit: number;
  readonly tenant?: string | undefined;
  readonly taskClass?: string | undefined;
  readonly state?: string | undefined;
}

/** Changes of tasks. */
export interface TaskCommands {
  /** Accepts a task; resolves once it is durable. The same job id twice is one job. */
  submit(submission: TaskSubmission, call: Call): Promise<Result<TaskView, Failure>>;
  /** Cancels a job; resolves once the cancellation is durable, and with its outcome if in time. */
  cancel(jobId: string, call: Call): Promise<Result<TaskView, Failure>>;
}

/** Questions about tasks. */
export interface TaskQueries {
  show(jobId: string, call: Call): Promise<Result<TaskView, Failure>>;
  list(selection: TaskSelection, call: Call): Promise<Result<readonly TaskView[], Failure>>;
  explain(jobId: string, call: Call): Promise<Result<TaskExplanation, Failure>>;
  /** Passes on the job and each change; resolves when the job has ended or nobody listens. */
  follow(
    jobId: string,
    onView: (view: TaskView) => void,
    call: Call,
  ): Promise<Result<void, Failure>>;
}
