/**
 * Tells the delay of this process from the silence of a peer. A timer that is served late shows that the
 * process has not listened meanwhile, so it goes on listening for a while before it judges the peer.
 */

/** Delay of a timer from which the process counts as late, in milliseconds. */
const LATE_MS = 20;

/** Most time that is added to a call because the process was late, in milliseconds. */
const MOST_ADDED_MS = 1_000;

/**
 * Returns for how long a call whose time is up goes on listening.
 *
 * @param lateMs - delay of the timer that ends the call, in milliseconds
 * @returns time in milliseconds; 0 if the process was not late
 */
export const listeningMs = (lateMs: number): number =>
  lateMs < LATE_MS ? 0 : Math.min(lateMs, MOST_ADDED_MS);
