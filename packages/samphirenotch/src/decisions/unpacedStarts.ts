/**
 * Baseline: every start is allowed at once.
 */
import type { StartPacing } from './startPacing.js';

/** Does not pace starts. */
export class UnpacedStarts implements StartPacing {
  /** Does nothing: starts are not paced. */
  capacityReturned(): void {}

  /**
   * Allows every start.
   *
   * @returns true
   */
  tryStart(): boolean {
    return true;
  }
}
