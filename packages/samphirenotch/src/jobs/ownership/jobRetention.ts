/**
 * Removes jobs, and cancellations of jobs that are not stored, once their retention period has
 * passed.
 */
import type { Clock } from '../../time/clock.js';

import type { JobReplica } from '../store/jobReplica.js';
import type { JobRegistry } from '../store/jobRegistry.js';

/**
 * How long callers may query a job after its end, in milliseconds; the platform requires 120 s. A
 * submission without an answer takes effect within seconds, long before its cancellation is removed.
 */
const RETENTION_MS = 180_000;

/** Time between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = 10_000;

/** Most jobs removed in one check, so that the store keeps capacity for callers. */
const MAX_REMOVALS_PER_CHECK = 50;

/**
 * Removes the ended and cancelled jobs of one share. The period counts from when this owner first saw
 * the end or the cancellation.
 */
export class JobRetention {
  private overSinceMs = new Map<string, number>();

  /**
   * @param share - id of the home share of the jobs
   * @param replica - all jobs
   * @param book - removes the jobs
   * @param clock - source of time
   */
  constructor(
    private readonly share: string,
    private readonly replica: JobReplica,
    private readonly book: JobRegistry,
    private readonly clock: Clock,
  ) {}

  /**
   * Removes jobs until the signal is aborted.
   *
   * @param signal - ends it
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(CHECK_INTERVAL_MS, signal);
      if (!signal.aborted) this.removeExpired();
    }
  }

  private removeExpired(): void {
    const nowMs = this.clock.monotonicMs();
    const over = [
      ...this.replica.terminalJobIds(this.share),
      ...this.replica.unmatchedCancellations(this.share),
    ];
    this.overSinceMs = new Map(over.map((id) => [id, this.overSinceMs.get(id) ?? nowMs]));
    over
      .filter((id) => nowMs - (this.overSinceMs.get(id) ?? nowMs) >= RETENTION_MS)
      .slice(0, MAX_REMOVALS_PER_CHECK)
      .forEach((id) => this.book.purge(id));
  }
}
