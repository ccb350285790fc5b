/**
 * Baseline: a fixed number of retries per period, independent of traffic.
 */
import type { RetryPolicy } from './retryPolicy.js';

/** Settings of a fixed budget. */
export interface FixedRetryBudgetSettings {
  /** Retries allowed per period. */
  readonly retries: number;
  /** Length of a period, in milliseconds. */
  readonly periodMs: number;
}

/** Allows a fixed number of retries per period. */
export class FixedRetryBudget implements RetryPolicy {
  private readonly settings: FixedRetryBudgetSettings;

  private periodEndsAtMs = 0;

  private retriesLeft = 0;

  /**
   * @param settings - number of retries and length of a period
   */
  constructor(settings: FixedRetryBudgetSettings) {
    this.settings = settings;
  }

  /** Does nothing: first sends do not add to this budget. */
  recordFirstSend(): void {}

  /**
   * Takes one retry from the budget of the current period.
   *
   * @param nowMs - current time, in milliseconds
   * @returns false if no retry is left in this period
   */
  tryRetry(nowMs: number): boolean {
    if (nowMs >= this.periodEndsAtMs) {
      this.periodEndsAtMs = nowMs + this.settings.periodMs;
      this.retriesLeft = this.settings.retries;
    }
    if (this.retriesLeft === 0) return false;
    this.retriesLeft -= 1;
    return true;
  }

  /**
   * Returns no delay: this policy never hedges.
   *
   * @returns `undefined`
   */
  hedgeDelayMs(): undefined {
    return undefined;
  }

  /** Does nothing: this policy does not learn. */
  observeLatency(): void {}
}
