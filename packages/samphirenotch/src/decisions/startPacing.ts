/**
 * Spreads task starts over time after capacity has returned or the store answers again.
 */

/** A policy for pacing task starts. */
export interface StartPacing {
  /** Notifies the policy that much capacity has become available at once. */
  capacityReturned(nowMs: number): void;
  /** Takes a permit for one start; false if the start has to wait. */
  tryStart(nowMs: number): boolean;
}
