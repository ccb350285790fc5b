/**
 * Changes of jobs that are to be written to the store.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Job } from './job.js';

/** A new record of a job, or its removal. */
export interface JobChange {
  readonly jobId: string;
  /** The new record; absent to remove the job. */
  readonly job?: Job;
  /** Whether the change is refused during an outage of the store, instead of waiting. */
  readonly failFast: boolean;
}

/** A change that is not yet durable. */
export interface PendingChange extends JobChange {
  /** Encoded record; empty for a removal. */
  readonly text: string;
  /** Length of the encoded record in bytes. */
  readonly bytes: number;
  /** Called once the change is durable or has failed. */
  readonly settle: (result: Result<void, Failure>) => void;
}
