/**
 * An attempt as the owner of its worker tracks it.
 */
import type { Failure } from '../failure.js';
import type { AttemptReport, Size } from '../infrastructure/worker.js';
import type { Result } from '../results.js';

/**
 * `reserved`: room is set aside; `starting`: a start is under way; `running`: the worker holds it;
 * `uncertain`: a start was given up and may yet arrive.
 */
export type AttemptState = 'reserved' | 'starting' | 'running' | 'uncertain';

/** An attempt that the ledger counts. */
export interface TrackedAttempt {
  readonly attemptId: string;
  readonly jobId: string;
  readonly partition: string;
  readonly taskClass: string;
  readonly tenant: string;
  /** What the job's owner declared, if known. */
  readonly declaredSize: Size;
  /** What the ledger counted at the start. */
  readonly size: Size;
  readonly priority: number;
  readonly state: AttemptState;
  readonly reservationId?: string;
  /** Monotonic time at which it was reserved or first seen, in milliseconds. */
  readonly firstSeenAtMs: number;
  /** Monotonic time after which it runs no more unless renewed, in milliseconds. */
  readonly leaseExpiresAtMs: number;
  /** Monotonic time after which no start of it can arrive any more, in milliseconds. */
  readonly lastStartArrivalAtMs: number;
  /** Monotonic time at which the worker's answer to the start came in, in milliseconds. */
  readonly answeredAtMs: number;
  /** Monotonic time of the last checkpoint seen, in milliseconds. */
  readonly checkpointedAtMs: number;
  /** Share of its processors that it is limited to. */
  readonly throttledTo: number;
  readonly report?: AttemptReport;
  /** Outcome of the start, for whoever asks again meanwhile. */
  readonly startOutcome?: Promise<Result<AttemptReport, Failure>>;
}

/**
 * Describes an attempt that runs no more.
 *
 * @param attempt - the attempt
 * @param phase - how it ended
 * @param detail - why
 * @returns the report for the owner of its job
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
