/**
 * The next record of a job after something happened to it.
 */
import {
  MAXIMUM_DETAIL_LENGTH,
  MAXIMUM_EXCLUDED_WORKERS,
  MAXIMUM_RETRY_BACKOFF_MS,
  RETRY_BACKOFF_BASE_MS,
  MINIMUM_STABLE_RUN_MS,
} from './taskSettings.js';
import type { Attempt, Job, JobState } from './job.js';

const withState = (job: Job, state: JobState, nowMs: number): Job => ({
  ...job,
  state,
  stateSinceMs: nowMs,
});

const withoutAttempt = (job: Job): Job => {
  const { attempt, ...rest } = job;
  return rest;
};

const withEndState = (job: Job, state: JobState, nowMs: number, detail: string): Job => ({
  ...withState(withoutAttempt(job), state, nowMs),
  payload: '',
  excludedWorkers: [],
  detail: detail.slice(0, MAXIMUM_DETAIL_LENGTH),
});

const excludeWorker = (job: Job, workerId: string | undefined): readonly string[] =>
  workerId === undefined
    ? job.excludedWorkers
    : [...job.excludedWorkers.filter((each) => each !== workerId), workerId].slice(
        -MAXIMUM_EXCLUDED_WORKERS,
      );

/**
 * Records the intent to start an attempt.
 *
 * @param job - a queued job
 * @param attempt - the attempt
 * @param nowMs - wall clock time
 * @returns the next record
 */
export const markStarting = (job: Job, attempt: Attempt, nowMs: number): Job => ({
  ...withState(job, 'starting', nowMs),
  attempt,
  attempts: attempt.number,
});

/**
 * Records that an attempt runs.
 *
 * @param job - a job with an attempt
 * @param checkpoint - last checkpoint, if any
 * @param nowMs - wall clock time
 * @returns the next record, the same one if nothing is new
 */
export const markRunning = (job: Job, checkpoint: string | undefined, nowMs: number): Job => {
  const isKnown = checkpoint === undefined || checkpoint === job.checkpoint;
  const moved = job.state === 'starting' ? withState(job, 'running', nowMs) : job;
  return isKnown ? moved : { ...moved, checkpoint };
};

/**
 * Records that the attempt is to be stopped and its job to go on elsewhere.
 *
 * @param job - a job with an attempt
 * @param nowMs - wall clock time
 * @returns the next record
 */
export const markEvicting = (job: Job, nowMs: number): Job => withState(job, 'evicting', nowMs);

/**
 * Records that the attempt certainly never ran.
 *
 * @param job - a job with an attempt
 * @param nowMs - wall clock time
 * @param reason - why it did not run
 * @returns the next record
 */
export const markNeverStarted = (job: Job, nowMs: number, reason: string): Job => {
  const excludedWorkers = excludeWorker(job, job.attempt?.workerId);
  return {
    ...withState(withoutAttempt(job), 'queued', nowMs),
    excludedWorkers,
    notBeforeMs: nowMs + RETRY_BACKOFF_BASE_MS,
    detail: reason.slice(0, MAXIMUM_DETAIL_LENGTH),
  };
};

/**
 * Records that the attempt was stopped and that the job goes on from its checkpoint.
 *
 * @param job - a job with an attempt
 * @param checkpoint - checkpoint to go on from, if there is a newer one
 * @param nowMs - wall clock time
 * @returns the next record
 */
export const markRequeued = (job: Job, checkpoint: string | undefined, nowMs: number): Job => ({
  ...withState(withoutAttempt(job), 'queued', nowMs),
  evictions: job.evictions + 1,
  ...(checkpoint === undefined ? {} : { checkpoint }),
});

/**
 * Records that the attempt failed and that the job is tried again later.
 *
 * @param job - a job with an attempt
 * @param reason - why the attempt failed
 * @param nowMs - wall clock time
 * @param resetsFailures - whether a long run before the failure clears the failures before it
 * @returns the next record
 */
export const markAttemptFailed = (
  job: Job,
  reason: string,
  nowMs: number,
  resetsFailures: boolean,
): Job => {
  const ranLongEnough =
    resetsFailures && nowMs - (job.attempt?.intendedAtMs ?? nowMs) > MINIMUM_STABLE_RUN_MS;
  const failedAttempts = ranLongEnough ? 1 : job.failedAttempts + 1;
  const backoffMs = Math.min(MAXIMUM_RETRY_BACKOFF_MS, RETRY_BACKOFF_BASE_MS * 2 ** failedAttempts);
  return {
    ...withState(withoutAttempt(job), 'queued', nowMs),
    failedAttempts,
    excludedWorkers: excludeWorker(job, job.attempt?.workerId),
    notBeforeMs: nowMs + backoffMs,
    detail: reason.slice(0, MAXIMUM_DETAIL_LENGTH),
  };
};

/**
 * Records that the job reached its end.
 *
 * @param job - the job
 * @param result - what the attempt resulted in
 * @param nowMs - wall clock time
 * @returns the next record
 */
export const markCompleted = (job: Job, result: string, nowMs: number): Job =>
  withEndState(job, 'completed', nowMs, result);

/**
 * Records that the job has failed for good.
 *
 * @param job - the job
 * @param reason - why
 * @param limit - name of the limit that stopped it, if one did
 * @param nowMs - wall clock time
 * @returns the next record
 */
export const markFailed = (
  job: Job,
  reason: string,
  limit: string | undefined,
  nowMs: number,
): Job => ({
  ...withEndState(job, 'failed', nowMs, reason),
  ...(limit === undefined ? {} : { limit }),
});

/**
 * Records that the job was cancelled.
 *
 * @param job - the job
 * @param nowMs - wall clock time
 * @returns the next record
 */
export const markCancelled = (job: Job, nowMs: number): Job =>
  withEndState(job, 'cancelled', nowMs, 'cancelled by its caller');

/**
 * Records that a cancellation was accepted while an attempt may run.
 *
 * @param job - a job with an attempt
 * @returns the next record
 */
export const markCancelRequested = (job: Job): Job => ({ ...job, cancelRequested: true });

/**
 * Records that an operator has to decide, since nobody knows what the attempt did.
 *
 * @param job - a job with an attempt
 * @param reason - what is known
 * @param nowMs - wall clock time
 * @returns the next record
 */
export const markHeld = (job: Job, reason: string, nowMs: number): Job => ({
  ...withState(job, 'held', nowMs),
  detail: reason.slice(0, MAXIMUM_DETAIL_LENGTH),
});
