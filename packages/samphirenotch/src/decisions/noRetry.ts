/**
 * Baseline: every request is sent once.
 */
import type { RetryPolicy } from './retryPolicy.js';

/** Allows no second send. */
export class NoRetry implements RetryPolicy {
  /** Earns nothing. */
  recordFirstSend(): void {}

  /**
   * Refuses.
   *
   * @returns false
   */
  tryRetry(): boolean {
    return false;
  }

  /**
   * Never hedges.
   *
   * @returns nothing
   */
  hedgeDelayMs(): undefined {
    return undefined;
  }

  /** Does nothing: this policy does not learn. */
  observeLatency(): void {}
}
