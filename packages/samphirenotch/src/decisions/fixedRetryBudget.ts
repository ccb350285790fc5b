/**
 * Baseline: a fixed number of retries per fixed period, whatever the traffic.
 */
import type { RetryPolicy } from './retryPolicy.js';

/** Settings of a fixed budget. */
export interface FixedRetryBudgetSettings {
  /** Retries allowed per period. */
  readonly retries: number;
  /** Length of a period, in milliseconds. */
  readonly periodMs: number;
}

/** Allows so many retries per period. */
export class FixedRetryBudget implements RetryPolicy {
  private readonly settings: FixedRetryBudgetSettings;

  private periodEndsAtMs = 0;

  private retriesLeft = 0;

  /**
   * @param settings - the budget
   */
  constructor(settings: FixedRetryBudgetSettings) {
    this.settings = settings;
  }

  /** Earns nothing. */
  recordFirstSend(): void {}

  /**
   * Spends one retry of the period.
   *
   * @param nowMs - time, in milliseconds
   * @returns false if the period has none left
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
   * Never hedges.
   *
   * @returns nothing
   */
  hedgeDelayMs(): undefined {
    return undefined;
  }

  /** Learns nothing. */
  observeLatency(): void {}
}
