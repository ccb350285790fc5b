/**
 * Baseline: every request is sent once.
 */
import type { RetryPolicy } from './retryPolicy.js';

/** Allows neither retries nor hedged requests. */
export class NoRetry implements RetryPolicy {
  /** Does nothing: there is no budget. */
  recordFirstSend(): void {}

  /**
   * Refuses every retry.
   *
   * @returns false
   */
  tryRetry(): boolean {
    return false;
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
