/**
 * An attempt, as the owner of its worker's shard tracks it.
 */
import type { Failure } from '../failure.js';
import type { AttemptReport, Size } from '../infrastructure/worker.js';
import type { Result } from '../results.js';

/**
 * `reserved`: room is reserved; `starting`: a start is in progress; `running`: the worker holds the
 * attempt; `uncertain`: the start was not answered and may still arrive at the worker.
 */
export type AttemptState = 'reserved' | 'starting' | 'running' | 'uncertain';

/** An attempt that uses capacity of a worker. */
export interface TrackedAttempt {
  readonly attemptId: string;
  readonly jobId: string;
  readonly partition: string;
  readonly taskClass: string;
  readonly tenant: string;
  /**
   * Size that the job declared; for an attempt of an earlier owner, the declared size of its class.
   */
  readonly declaredSize: Size;
  /** Size that was reserved. */
  readonly size: Size;
  readonly priority: number;
  readonly state: AttemptState;
  readonly reservationId?: string;
  /** Monotonic time at which it was reserved or first listed by the worker, in milliseconds. */
  readonly firstSeenAtMs: number;
  /** Monotonic time after which it no longer runs unless its lease is renewed, in milliseconds. */
  readonly leaseExpiresAtMs: number;
  /** Monotonic time after which its start can no longer arrive at the worker, in milliseconds. */
  readonly lastStartArrivalAtMs: number;
  /** Monotonic time at which the call to start it ended, in milliseconds. */
  readonly answeredAtMs: number;
  /** Monotonic time at which its latest checkpoint was first reported, in milliseconds. */
  readonly checkpointedAtMs: number;
  /** Fraction of its processor time that it is limited to; 1 if it is not throttled. */
  readonly throttledTo: number;
  /** Latest report of the worker. */
  readonly report?: AttemptReport;
  /** Outcome of the start, which repeated calls and stops wait for. */
  readonly startOutcome?: Promise<Result<AttemptReport, Failure>>;
}

/**
 * Makes the report of an attempt that no longer runs.
 *
 * @param attempt - the attempt
 * @param phase - `lapsed` if its lease expired or the worker lost it, otherwise `stopped`
 * @param detail - reason why it ended
 * @returns the report for the owner of its job, with the last known checkpoint
 */
export const endedReport = (
  attempt: TrackedAttempt,
  phase: 'lapsed' | 'stopped',
  detail: string,
): AttemptReport => {
  const { attemptId, jobId, partition, taskClass, tenant, size, report } = attempt;
  const base = { attemptId, jobId, partition, taskClass, tenant, size, phase, detail };
  return report?.checkpoint === undefined ? base : { ...base, checkpoint: report.checkpoint };
};
