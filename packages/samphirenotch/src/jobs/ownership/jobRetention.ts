/**
 * Removes jobs from the store that have been over for long enough.
 */
import type { Clock } from '../../time/clock.js';

import type { JobReplica } from '../store/jobReplica.js';
import type { JobRegistry } from '../store/jobRegistry.js';

/** Time for which callers may ask for a job that is over, in milliseconds; the platform asks for 120 s. */
const RETENTION_MS = 180_000;

/** Time between two looks, in milliseconds. */
const CHECK_INTERVAL_MS = 10_000;

/** Most jobs removed at a look; keeps the store free for callers. */
const MAX_REMOVALS_PER_CHECK = 50;

/** Remembers since when jobs are over, as far as this owner knows. */
export class JobRetention {
  private overSinceMs = new Map<string, number>();

  /**
   * @param share - id of the home of the jobs
   * @param replica - all jobs
   * @param book - removes jobs
   * @param clock - time
   */
  constructor(
    private readonly share: string,
    private readonly replica: JobReplica,
    private readonly book: JobRegistry,
    private readonly clock: Clock,
  ) {}

  /**
   * Removes jobs until told to stop.
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
    const over = this.replica.terminalJobIds(this.share);
    this.overSinceMs = new Map(over.map((id) => [id, this.overSinceMs.get(id) ?? nowMs]));
    over
      .filter((id) => nowMs - (this.overSinceMs.get(id) ?? nowMs) >= RETENTION_MS)
      .slice(0, MAX_REMOVALS_PER_CHECK)
      .forEach((id) => this.book.purge(id));
  }
}
