/**
 * A term of ownership, as what an owner consists of sees it.
 */

/** How long an owner goes on without a confirmed lease, in milliseconds; longer than most outages. */
export const MAXIMUM_UNCONFIRMED_MS = 12_000;

/** One term of ownership. */
export interface Term {
  readonly fencingToken: number;
  /** Ends the term. */
  readonly signal: AbortSignal;
  /**
   * Tells until when the lease is certain. What is learned after that may belong to a successor.
   *
   * @returns monotonic time in milliseconds
   */
  leaseValidUntilMs(): number;
  /**
   * Tells for how long the store has not confirmed the lease. Beyond `LONGEST_UNCONFIRMED_MS` a
   * successor may count every lease of this owner as over.
   *
   * @returns milliseconds
   */
  leaseUnconfirmedMs(): number;
  /**
   * Ends the term from within.
   *
   * @param reason - what showed that another owner has taken over
   */
  stepDown(reason: string): void;
}
