/**
 * Decides the next state of a job whose attempt has ended.
 */
import type { TaskClass } from '../config/objects.js';
import { NEVER_STARTED, type AttemptReport } from '../infrastructure/worker.js';
import type { Job } from './job.js';
import {
  markCancelled,
  markCompleted,
  markFailed,
  markAttemptFailed,
  markHeld,
  markNeverStarted,
  markRequeued,
} from './jobTransitions.js';

/** Name of the limit that is recorded with a job that failed too often. */
export const MAXIMUM_ATTEMPTS_LIMIT = 'maximumAttempts';

const nextJobAfterFailure = (
  job: Job,
  taskClass: TaskClass | undefined,
  reason: string,
  nowMs: number,
): Job => {
  if (!taskClass?.idempotent) return markFailed(job, reason, undefined, nowMs);
  const next = markAttemptFailed(job, reason, nowMs, taskClass.kind === 'watcher');
  if (next.failedAttempts < taskClass.maximumAttempts) return next;
  const text = `failed ${next.failedAttempts} times, the last time with: ${reason}`;
  return markFailed(job, text, MAXIMUM_ATTEMPTS_LIMIT, nowMs);
};

const nextJobAfterStop = (
  job: Job,
  taskClass: TaskClass | undefined,
  report: AttemptReport,
  nowMs: number,
): Job => {
  if (taskClass?.idempotent) return markRequeued(job, report.checkpoint, nowMs);
  const canResume = report.phase === 'stopped' && report.checkpoint !== undefined;
  if (canResume) return markRequeued(job, report.checkpoint, nowMs);
  const reason = `attempt ${report.attemptId} ended as ${report.phase}, with unknown effect`;
  return markHeld(job, reason, nowMs);
};

/**
 * Returns the next record of a job whose worker or shard reported that its attempt has ended.
 *
 * @param job - the job, with the attempt that ended
 * @param taskClass - class of the job; without a configured class, the job counts as not idempotent
 * @param report - how the attempt ended
 * @param nowMs - wall clock time, in milliseconds since the Unix epoch
 * @returns the next record
 */
export const nextJobAfterAttempt = (
  job: Job,
  taskClass: TaskClass | undefined,
  report: AttemptReport,
  nowMs: number,
): Job => {
  if (report.phase === 'completed') return markCompleted(job, report.detail ?? '', nowMs);
  if (job.cancelRequested) return markCancelled(job, nowMs);
  if (report.phase === 'failed') {
    return nextJobAfterFailure(job, taskClass, report.detail ?? 'no reason given', nowMs);
  }
  if (report.detail === NEVER_STARTED) {
    return markNeverStarted(job, nowMs, 'the start did not reach the worker');
  }
  return nextJobAfterStop(job, taskClass, report, nowMs);
};
