/**
 * Decides which ended jobs to drop.
 */
import type { Job } from './job.js';
import { hasIdempotencyKey } from './jobId.js';
import { MAXIMUM_ENDED_JOBS, MAXIMUM_DROPS_PER_SWEEP, RETENTION_MS } from './taskSettings.js';

/**
 * Finds the ended jobs to drop: those older than the retention period and, above the maximum number
 * of ended jobs, the oldest ones without an idempotency key. A job with a key is kept for the whole
 * period, so that a repeated submission is recognised.
 *
 * @param ended - ended jobs, in the order in which they ended
 * @param nowMs - wall clock time, in milliseconds since the Unix epoch
 * @returns the jobs to drop now
 */
export const jobsToDrop = (ended: readonly Job[], nowMs: number): readonly Job[] => {
  const excess = ended.length - MAXIMUM_ENDED_JOBS;
  const isDropped = (job: Job, index: number): boolean =>
    job.stateSinceMs < nowMs - RETENTION_MS || (index < excess && !hasIdempotencyKey(job.id));
  return ended.filter(isDropped).slice(0, MAXIMUM_DROPS_PER_SWEEP);
};
