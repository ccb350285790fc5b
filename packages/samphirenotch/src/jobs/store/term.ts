/**
 * A term of ownership, as seen by the components of an owner.
 */

/**
 * How long an owner continues without a confirmed lease, in milliseconds; longer than most outages.
 */
export const MAXIMUM_UNCONFIRMED_MS = 12_000;

/** One term of ownership of a share, from acquiring its lease to losing it. */
export interface Term {
  readonly fencingToken: number;
  /** Aborted when the term ends. */
  readonly signal: AbortSignal;
  /**
   * Returns until when the lease is certainly held. After that, a successor may have changed
   * anything.
   *
   * @returns monotonic time in milliseconds
   */
  leaseValidUntilMs(): number;
  /**
   * Returns for how long the store has not confirmed the lease. Beyond `MAXIMUM_UNCONFIRMED_MS` a
   * successor may treat every lease of this owner as expired.
   *
   * @returns milliseconds
   */
  leaseUnconfirmedMs(): number;
  /** Renews the lease soon, because a decision waits for proof that it is held. */
  confirmSoon(): void;
  /**
   * Ends the term early, e.g. because another owner has taken over or the lease has ended.
   *
   * @param reason - why, for the log
   */
  stepDown(reason: string): void;
}
