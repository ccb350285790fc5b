/**
 * Decides what follows when an attempt has ended.
 */
import type { TaskClass } from '../config/objects.js';
import { NEVER_STARTED, type AttemptReport } from '../infrastructure/worker.js';
import type { Job } from './job.js';
import {
  cancelled,
  completed,
  failed,
  failedOnce,
  held,
  neverStarted,
  requeued,
} from './jobTransitions.js';

/** Limit named by a job that failed too often. */
export const ATTEMPTS_LIMIT = 'maximumAttempts';

const afterFailure = (
  job: Job,
  taskClass: TaskClass | undefined,
  reason: string,
  nowMs: number,
): Job => {
  if (!taskClass?.idempotent) return failed(job, reason, undefined, nowMs);
  const next = failedOnce(job, reason, nowMs, taskClass.kind === 'watcher');
  if (next.failedAttempts < taskClass.maximumAttempts) return next;
  const text = `failed ${next.failedAttempts} times, the last time with: ${reason}`;
  return failed(job, text, ATTEMPTS_LIMIT, nowMs);
};

const afterStop = (
  job: Job,
  taskClass: TaskClass | undefined,
  report: AttemptReport,
  nowMs: number,
): Job => {
  if (taskClass?.idempotent) return requeued(job, report.checkpoint, nowMs);
  const resumable = report.phase === 'stopped' && report.checkpoint !== undefined;
  if (resumable) return requeued(job, report.checkpoint, nowMs);
  const reason = `attempt ${report.attemptId} ended as ${report.phase}, with unknown effect`;
  return held(job, reason, nowMs);
};

/**
 * Finds the next record of a job whose attempt has ended by its worker's or its shard's word.
 *
 * @param job - the job, with the attempt that ended
 * @param taskClass - class of the job; a class that is configured no more counts as not idempotent
 * @param report - how the attempt ended
 * @param nowMs - wall clock time
 * @returns the next record
 */
export const afterAttempt = (
  job: Job,
  taskClass: TaskClass | undefined,
  report: AttemptReport,
  nowMs: number,
): Job => {
  if (report.phase === 'completed') return completed(job, report.detail ?? '', nowMs);
  if (job.cancelRequested) return cancelled(job, nowMs);
  if (report.phase === 'failed') {
    return afterFailure(job, taskClass, report.detail ?? 'no reason given', nowMs);
  }
  if (report.detail === NEVER_STARTED) {
    return neverStarted(job, nowMs, 'the start did not reach the worker');
  }
  return afterStop(job, taskClass, report, nowMs);
};
