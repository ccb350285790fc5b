/**
 * Decides whether another send of a request may be made.
 */

/** A policy for sends beyond the first. */
export interface RetryPolicy {
  /** Counts a first send, which earns budget. */
  recordFirstSend(nowMs: number): void;
  /** Spends budget for another send; false if there is none. */
  tryRetry(nowMs: number): boolean;
  /** When a second, hedging send is due after the first, in milliseconds; `undefined` for never. */
  hedgeDelayMs(taskClass: string): number | undefined;
  /** Learns the latency of an answered send. */
  observeLatency(taskClass: string, latencyMs: number): void;
}
