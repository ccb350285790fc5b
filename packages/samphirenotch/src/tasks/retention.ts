/**
 * Decides which ended jobs are dropped.
 */
import type { Job } from './job.js';
import { hasIdempotencyKey } from './jobId.js';
import { MAXIMUM_ENDED_JOBS, MAXIMUM_DROPS_PER_SWEEP, RETENTION_MS } from './taskSettings.js';

/**
 * Finds ended jobs to drop: those kept long enough, and beyond a number the oldest of those that were
 * submitted without an idempotency key. A key has to be known for the whole time.
 *
 * @param ended - ended jobs, the one that ended first coming first
 * @param nowMs - wall clock time
 * @returns the jobs to drop now
 */
export const jobsToDrop = (ended: readonly Job[], nowMs: number): readonly Job[] => {
  const excess = ended.length - MAXIMUM_ENDED_JOBS;
  const isDropped = (job: Job, index: number): boolean =>
    job.stateSinceMs < nowMs - RETENTION_MS || (index < excess && !hasIdempotencyKey(job.id));
  return ended.filter(isDropped).slice(0, MAXIMUM_DROPS_PER_SWEEP);
};
