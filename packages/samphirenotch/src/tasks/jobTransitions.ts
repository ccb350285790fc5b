/**
 * State transitions of jobs. Each function returns the next record and leaves the given one as it
 * is.
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
 * Records that an attempt is about to be started.
 *
 * @param job - a queued job
 * @param attempt - the attempt
 * @param nowMs - wall clock time, in milliseconds since the Unix epoch
 * @returns the next record
 */
export const markStarting = (job: Job, attempt: Attempt, nowMs: number): Job => ({
  ...withState(job, 'starting', nowMs),
  attempt,
  attempts: attempt.number,
});

/**
 * Records that an attempt is running.
 *
 * @param job - a job with an attempt
 * @param checkpoint - last checkpoint, if any
 * @param nowMs - wall clock time, in milliseconds since the Unix epoch
 * @returns the next record; the given one if nothing has changed
 */
export const markRunning = (job: Job, checkpoint: string | undefined, nowMs: number): Job => {
  const isKnown = checkpoint === undefined || checkpoint === job.checkpoint;
  const moved = job.state === 'starting' ? withState(job, 'running', nowMs) : job;
  return isKnown ? moved : { ...moved, checkpoint };
};

/**
 * Records that the attempt is being stopped so that the job can continue elsewhere.
 *
 * @param job - a job with an attempt
 * @param nowMs - wall clock time, in milliseconds since the Unix epoch
 * @returns the next record
 */
export const markEvicting = (job: Job, nowMs: number): Job => withState(job, 'evicting', nowMs);

/**
 * Records that the attempt never ran. The job is queued again and avoids the worker.
 *
 * @param job - a job with an attempt
 * @param nowMs - wall clock time, in milliseconds since the Unix epoch
 * @param reason - why the attempt did not run
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
 * Records that the attempt no longer runs and queues the job again, to resume from its checkpoint.
 *
 * @param job - a job with an attempt
 * @param checkpoint - checkpoint to resume from, if it is newer than the recorded one
 * @param nowMs - wall clock time, in milliseconds since the Unix epoch
 * @returns the next record
 */
export const markRequeued = (job: Job, checkpoint: string | undefined, nowMs: number): Job => ({
  ...withState(withoutAttempt(job), 'queued', nowMs),
  evictions: job.evictions + 1,
  ...(checkpoint === undefined ? {} : { checkpoint }),
});

/**
 * Records that the attempt failed and queues the job for a retry, with exponential backoff. The job
 * avoids the worker.
 *
 * @param job - a job with an attempt
 * @param reason - why the attempt failed
 * @param nowMs - wall clock time, in milliseconds since the Unix epoch
 * @param resetsFailures - whether a long run before this failure clears the earlier failures
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
 * Records that the job has completed.
 *
 * @param job - the job
 * @param result - result of the attempt
 * @param nowMs - wall clock time, in milliseconds since the Unix epoch
 * @returns the next record
 */
export const markCompleted = (job: Job, result: string, nowMs: number): Job =>
  withEndState(job, 'completed', nowMs, result);

/**
 * Records that the job has failed and is not tried again.
 *
 * @param job - the job
 * @param reason - why it failed
 * @param limit - name of the limit that made it fail, if one did
 * @param nowMs - wall clock time, in milliseconds since the Unix epoch
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
 * @param nowMs - wall clock time, in milliseconds since the Unix epoch
 * @returns the next record
 */
export const markCancelled = (job: Job, nowMs: number): Job =>
  withEndState(job, 'cancelled', nowMs, 'cancelled by its caller');

/**
 * Records that a cancellation was accepted while an attempt may be running.
 *
 * @param job - a job with an attempt
 * @returns the next record
 */
export const markCancelRequested = (job: Job): Job => ({ ...job, cancelRequested: true });

/**
 * Records that the job waits for an operator's decision, since the effect of its attempt is not
 * known.
 *
 * @param job - a job with an attempt
 * @param reason - what is known about the attempt
 * @param nowMs - wall clock time, in milliseconds since the Unix epoch
 * @returns the next record
 */
export const markHeld = (job: Job, reason: string, nowMs: number): Job => ({
  ...withState(job, 'held', nowMs),
  detail: reason.slice(0, MAXIMUM_DETAIL_LENGTH),
});
