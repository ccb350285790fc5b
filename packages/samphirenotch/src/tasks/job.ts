/**
 * A job: one task that a caller submitted, with all that is kept about it.
 */
import type { Size } from '../infrastructure/worker.js';

/** Where a job stands. `held` waits for an operator and is never started again by itself. */
export type JobState =
  'queued' | 'starting' | 'running' | 'evicting' | 'completed' | 'failed' | 'cancelled' | 'held';

/** One try to run a job, at one worker. */
export interface Attempt {
  readonly id: string;
  /** 1 for the first attempt of the job. */
  readonly number: number;
  readonly shard: string;
  readonly workerId: string;
  /** Epoch of the shard's owner that reserved the room. */
  readonly epoch: number;
  /** Size that the ledger of the shard counts. */
  readonly size: Size;
  /** Wall clock time of the intent to start, in milliseconds since the Unix epoch. */
  readonly intendedAtMs: number;
  /** Its lease lapses by itself while no report of it reaches the partition's owner. */
  readonly restarts: boolean;
  /** Whether the attempt goes on from a checkpoint. */
  readonly resumed: boolean;
}

/** The record of a job. Times are wall clock, in milliseconds since the Unix epoch. */
export interface Job {
  readonly id: string;
  /** Resource name of the partition that owns the job. */
  readonly partition: string;
  readonly taskClass: string;
  readonly tenant: string;
  /** What to run, opaque to the scheduler; empty once the job has ended. */
  readonly payload: string;
  /** Digest of what was submitted, to tell a resend from another use of the same key. */
  readonly digest: string;
  readonly submittedAtMs: number;
  readonly state: JobState;
  readonly stateSinceMs: number;
  /** The attempt that may be running now. */
  readonly attempt?: Attempt;
  /** Attempts made, including the present one. */
  readonly attempts: number;
  /** Attempts that ended as failed in a row. */
  readonly failedAttempts: number;
  /** Evicted attempts. */
  readonly evictions: number;
  /** Checkpoint to go on from. */
  readonly checkpoint?: string;
  /** No start before this time. */
  readonly notBeforeMs: number;
  /** Workers that lately refused or failed the job. */
  readonly excludedWorkers: readonly string[];
  /** A cancellation was accepted and decides how the present attempt ends. */
  readonly cancelRequested: boolean;
  /** Result of a completed job, reason otherwise. */
  readonly detail?: string;
  /** Name of the limit that stopped a failed job. */
  readonly limit?: string;
}

const ENDED: ReadonlySet<JobState> = new Set(['completed', 'failed', 'cancelled']);
const ACTIVE: ReadonlySet<JobState> = new Set(['starting', 'running', 'evicting']);

/**
 * Tells whether a job has reached a state that it never leaves.
 *
 * @param job - the job
 * @returns true if it has ended
 */
export const isEnded = (job: Pick<Job, 'state'>): boolean => ENDED.has(job.state);

/**
 * Tells whether an attempt of a job may be running.
 *
 * @param job - the job
 * @returns true while the end of its last attempt is not proved
 */
export const isActive = (job: Job): boolean => ACTIVE.has(job.state);
