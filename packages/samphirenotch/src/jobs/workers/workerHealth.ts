/**
 * Finds workers that fail what they run, from the ends that they list.
 *
 * Answers the pattern of grey failures: a worker that reports good health and fails or drops its
 * tasks. Failures of several jobs in a short window count; those of one job are the job's own.
 */

/** Ends of a worker that are remembered. */
const MAX_RECENT_ENDS = 8;

/** Jobs that must have failed on a worker before it is avoided. */
const MIN_FAILED_JOBS = 2;

/** Share of remembered ends that must have failed. */
const MIN_FAILED_FRACTION = 0.5;

/** How long a worker is avoided the first time, in milliseconds; doubles with each relapse. */
const AVOID_MS = 2_000;

/** Longest time for which a worker is avoided, in milliseconds. */
const MAX_AVOID_MS = 8_000;

/** Time for which ends count, in milliseconds. */
const RECENT_MS = 6_000;

interface RecentEnd {
  readonly jobId: string;
  readonly failed: boolean;
  readonly atMs: number;
}

/** What is known of one worker's ends. */
export class WorkerHealth {
  private recentEnds: readonly RecentEnd[] = [];

  private avoidMs = AVOID_MS;

  /**
   * Takes an end.
   *
   * @param jobId - the job
   * @param failed - whether the run failed
   * @param nowMs - monotonic time in milliseconds
   * @returns for how long the worker is to be avoided from now, in milliseconds; 0 if it is not
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
