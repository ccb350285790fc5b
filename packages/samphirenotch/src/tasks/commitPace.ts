/**
 * Paces the commits of one partition: less often while the store refuses writes as overloaded, and
 * with exponential backoff while it does not answer.
 */
import {
  MAXIMUM_COMMIT_INTERVAL_MS,
  MINIMUM_COMMIT_INTERVAL_MS,
  MAXIMUM_STORE_BACKOFF_MS,
  STORE_BACKOFF_BASE_MS,
} from './taskSettings.js';
import type { TaskRandom } from './taskRandom.js';

const SLOWDOWN_FACTOR = 2;
const RECOVERY_FACTOR = 0.8;

/** Computes the time between the commits of one partition. */
export class CommitPace {
  private intervalMs = MINIMUM_COMMIT_INTERVAL_MS;

  private consecutiveFailures = 0;

  /**
   * @param random - source of jitter, so that partitions do not retry at the same time
   */
  constructor(private readonly random: TaskRandom) {}

  /** Records that the store accepted a commit or answered a read; commits become more frequent. */
  recordAnswer(): void {
    this.consecutiveFailures = 0;
    this.intervalMs = Math.max(MINIMUM_COMMIT_INTERVAL_MS, this.intervalMs * RECOVERY_FACTOR);
  }

  /** Records that the store refused a commit as overloaded; commits become less frequent. */
  recordOverload(): void {
    this.intervalMs = Math.min(MAXIMUM_COMMIT_INTERVAL_MS, this.intervalMs * SLOWDOWN_FACTOR);
  }

  /** Records that the store did not answer; the backoff grows. */
  recordNoAnswer(): void {
    this.consecutiveFailures += 1;
  }

  /**
   * Returns the time from the start of one commit to the start of the next.
   *
   * @returns milliseconds
   */
  nextIntervalMs(): number {
    if (this.intervalMs === MINIMUM_COMMIT_INTERVAL_MS) return MINIMUM_COMMIT_INTERVAL_MS;
    return this.withJitter(this.intervalMs);
  }

  /**
   * Returns the wait after a call that was not answered.
   *
   * @returns milliseconds
   */
  backoffMs(): number {
    return this.withJitter(
      Math.min(MAXIMUM_STORE_BACKOFF_MS, STORE_BACKOFF_BASE_MS * 2 ** this.consecutiveFailures),
    );
  }

  private withJitter(maximumMs: number): number {
    return (maximumMs / 2) * (1 + this.random.fraction());
  }
}
