/**
 * Spreads starts over time after capacity returns or the store answers again.
 */

/** A policy for pacing task starts. */
export interface StartPacing {
  /** Tells that a lot of capacity came back at once. */
  capacityReturned(nowMs: number): void;
  /** Takes permission for one start; false if it has to wait. */
  tryStart(nowMs: number): boolean;
}
