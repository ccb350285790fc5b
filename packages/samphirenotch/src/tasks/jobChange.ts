/**
 * A change of one job on its way to the store.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Job } from './job.js';

/** What is to be stored about a job. */
export interface JobChange {
  readonly jobId: string;
  /** The new record; nothing to remove the job. */
  readonly job?: Job;
  /** The change may be refused while the store is out, in place of waiting for its return. */
  readonly failFast: boolean;
}

/** A change that waits to be durable. */
export interface PendingChange extends JobChange {
  /** Encoded record; empty for a removal. */
  readonly text: string;
  /** Length of the encoded record in bytes. */
  readonly bytes: number;
  readonly settle: (result: Result<void, Failure>) => void;
}
