/**
 * Spaces out the commits of one partition: slower while the store is at its ceiling, and with
 * growing waits while it does not answer.
 */
import {
  MAXIMUM_COMMIT_INTERVAL_MS,
  MINIMUM_COMMIT_INTERVAL_MS,
  MAXIMUM_STORE_BACKOFF_MS,
  INITIAL_STORE_BACKOFF_MS,
} from './taskSettings.js';
import type { TaskRandom } from './taskRandom.js';

const SLOWDOWN_FACTOR = 2;
const RECOVERY_FACTOR = 0.8;

/** The pace of one partition's commits. */
export class CommitPace {
  private intervalMs = MINIMUM_COMMIT_INTERVAL_MS;

  private consecutiveFailures = 0;

  /**
   * @param random - spreads waits, so that partitions do not come back together
   */
  constructor(private readonly random: TaskRandom) {}

  /** Notes that the store took a commit or answered a question. */
  recordAnswer(): void {
    this.consecutiveFailures = 0;
    this.intervalMs = Math.max(MINIMUM_COMMIT_INTERVAL_MS, this.intervalMs * RECOVERY_FACTOR);
  }

  /** Notes that the store is at its ceiling. */
  recordOverload(): void {
    this.intervalMs = Math.min(MAXIMUM_COMMIT_INTERVAL_MS, this.intervalMs * SLOWDOWN_FACTOR);
  }

  /** Notes that the store did not answer. */
  recordNoAnswer(): void {
    this.consecutiveFailures += 1;
  }

  /**
   * Finds the time from one commit to the next.
   *
   * @returns milliseconds
   */
  nextIntervalMs(): number {
    if (this.intervalMs === MINIMUM_COMMIT_INTERVAL_MS) return MINIMUM_COMMIT_INTERVAL_MS;
    return this.withJitter(this.intervalMs);
  }

  /**
   * Finds the wait after a call that was not answered.
   *
   * @returns milliseconds
   */
  backoffMs(): number {
    return this.withJitter(
      Math.min(MAXIMUM_STORE_BACKOFF_MS, INITIAL_STORE_BACKOFF_MS * 2 ** this.consecutiveFailures),
    );
  }

  private withJitter(maximumMs: number): number {
    return (maximumMs / 2) * (1 + this.random.fraction());
  }
}
