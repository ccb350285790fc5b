/**
 * The record of a job: one task that a caller submitted, with its state and attempts.
 */
import type { Size } from '../infrastructure/worker.js';

/**
 * State of a job. A `held` job waits for an operator's decision, since the effect of its last
 * attempt is unknown; it is not restarted automatically.
 */
export type JobState =
  'queued' | 'starting' | 'running' | 'evicting' | 'completed' | 'failed' | 'cancelled' | 'held';

/** One attempt to run a job, on one worker. */
export interface Attempt {
  readonly id: string;
  /** Number of the attempt within the job, from 1. */
  readonly number: number;
  /** Resource name of the worker's shard. */
  readonly shard: string;
  readonly workerId: string;
  /** Epoch of the shard's owner that reserved the capacity. */
  readonly epoch: number;
  /** Capacity that the shard's ledger counts for the attempt. */
  readonly size: Size;
  /** Wall clock time of the decision to start it, in milliseconds since the Unix epoch. */
  readonly intendedAtMs: number;
  /**
   * Whether the attempt's lease expires while its reports do not reach the partition's owner, so
   * that the job can be restarted elsewhere during a network partition.
   */
  readonly restarts: boolean;
  /** Whether the attempt resumes from a checkpoint. */
  readonly resumed: boolean;
}

/** Record of a job. Times are wall clock, in milliseconds since the Unix epoch. */
export interface Job {
  readonly id: string;
  /** Resource name of the partition that owns the job. */
  readonly partition: string;
  readonly taskClass: string;
  readonly tenant: string;
  /** What the worker runs, opaque to the scheduler; empty once the job has ended. */
  readonly payload: string;
  /** Digest of the submission, to distinguish a retry from another use of the same key. */
  readonly digest: string;
  readonly submittedAtMs: number;
  readonly state: JobState;
  /** When the job entered its state. */
  readonly stateSinceMs: number;
  /** The attempt that may be running now. */
  readonly attempt?: Attempt;
  /** Number of attempts so far, including the present one. */
  readonly attempts: number;
  /** Number of failed attempts; starts again at 1 when a watcher fails after a long run. */
  readonly failedAttempts: number;
  /** Number of attempts that were stopped or lost, after which the job was queued again. */
  readonly evictions: number;
  /** Checkpoint from which the next attempt resumes. */
  readonly checkpoint?: string;
  /** Earliest time of the next start. */
  readonly notBeforeMs: number;
  /** Workers that recently failed the job or did not start it. */
  readonly excludedWorkers: readonly string[];
  /** Whether a cancellation was accepted; the job is cancelled unless its attempt completes. */
  readonly cancelRequested: boolean;
  /** Result of a completed job; otherwise the reason for the state. */
  readonly detail?: string;
  /** Name of the limit that made the job fail. */
  readonly limit?: string;
}

const ENDED: ReadonlySet<JobState> = new Set(['completed', 'failed', 'cancelled']);
const ACTIVE: ReadonlySet<JobState> = new Set(['starting', 'running', 'evicting']);

/**
 * Checks whether a job has reached a final state.
 *
 * @param job - the job
 * @returns true if it has ended
 */
export const isEnded = (job: Pick<Job, 'state'>): boolean => ENDED.has(job.state);

/**
 * Checks whether an attempt of a job may be running.
 *
 * @param job - the job
 * @returns true while the end of its last attempt is not confirmed
 */
export const isActive = (job: Job): boolean => ACTIVE.has(job.state);
