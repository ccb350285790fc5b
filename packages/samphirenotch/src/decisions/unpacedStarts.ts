/**
 * Baseline: every start goes ahead at once.
 */
import type { StartPacing } from './startPacing.js';

/** Starts without pacing. */
export class UnpacedStarts implements StartPacing {
  /** Ignores the return of capacity. */
  capacityReturned(): void {}

  /**
   * Allows the start.
   *
   * @returns true
   */
  tryStart(): boolean {
    return true;
  }
}
