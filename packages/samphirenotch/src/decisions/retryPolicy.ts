/**
 * Decides whether a request may be retried or hedged.
 */

/** A policy for the sends of a request after the first one. */
export interface RetryPolicy {
  /** Records a first send, which adds to the budget. */
  recordFirstSend(nowMs: number): void;
  /** Takes budget for one more send; false if there is none left. */
  tryRetry(nowMs: number): boolean;
  /**
   * Returns the delay of a hedged request after the first send, in milliseconds; `undefined` for
   * none.
   */
  hedgeDelayMs(taskClass: string): number | undefined;
  /** Records the latency of an answered send, in milliseconds. */
  observeLatency(taskClass: string, latencyMs: number): void;
}
