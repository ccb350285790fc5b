/**
 * Detects grey failures: workers that report good health but fail their tasks.
 *
 * A worker is avoided if runs of several jobs fail on it within a short window. Failures of a
 * single job are considered faults of the job.
 */

/** Number of most recent run ends that are kept per worker. */
const MAX_RECENT_ENDS = 8;

/** Number of jobs that must have failed on a worker before it is avoided. */
const MIN_FAILED_JOBS = 2;

/** Fraction of the recent ends that must be failures. */
const MIN_FAILED_FRACTION = 0.5;

/**
 * How long a worker is avoided the first time, in milliseconds; doubles each time it fails again.
 */
const AVOID_MS = 2_000;

/** Longest time for which a worker is avoided, in milliseconds. */
const MAX_AVOID_MS = 8_000;

/** Time for which an end counts as recent, in milliseconds. */
const RECENT_MS = 6_000;

interface RecentEnd {
  readonly jobId: string;
  readonly failed: boolean;
  readonly atMs: number;
}

/** Recent run ends of one worker and the backoff for avoiding it. */
export class WorkerHealth {
  private recentEnds: readonly RecentEnd[] = [];

  private avoidMs = AVOID_MS;

  /**
   * Records the end of a run.
   *
   * @param jobId - id of its job
   * @param failed - whether the run failed
   * @param nowMs - monotonic time in milliseconds
   * @returns how long the worker is to be avoided from now, in milliseconds; 0 if it is not to be
   */
  recordEnd(jobId: string, failed: boolean, nowMs: number): number {
    const recent = this.recentEnds.filter(({ atMs }) => nowMs - atMs < RECENT_MS);
    this.recentEnds = [...recent, { jobId, failed, atMs: nowMs }].slice(-MAX_RECENT_ENDS);
    const failures = this.recentEnds.filter((end) => end.failed);
    const jobs = new Set(failures.map((end) => end.jobId));
    if (!failed) {
      this.avoidMs = Math.max(AVOID_MS, this.avoidMs / 2);
      return 0;
    }
    if (
      jobs.size < MIN_FAILED_JOBS ||
      failures.length < MIN_FAILED_FRACTION * this.recentEnds.length
    )
      return 0;
    const avoidMs = this.avoidMs;
    this.avoidMs = Math.min(MAX_AVOID_MS, avoidMs * 2);
    return avoidMs;
  }
}
