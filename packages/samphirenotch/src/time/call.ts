/**
 * The context that is passed down with every call: its deadline and cancellation.
 */
import { setMaxListeners } from 'node:events';
import type { Clock } from './clock.js';

/** Deadline and cancellation of a call. */
export interface Call {
  /** Monotonic time after which the answer is useless, in milliseconds. */
  readonly deadlineMs: number;
  /** Aborted when the caller no longer wants the answer. */
  readonly signal: AbortSignal;
  /**
   * Checked right before a call that had to wait is sent. If false, the call fails as `not-run`.
   */
  readonly isWanted?: () => boolean;
}

const NEVER_ABORTED = new AbortController().signal;
setMaxListeners(0, NEVER_ABORTED);

// The signal is shared by all calls without their own cancellation, so it has many listeners.
setMaxListeners(0, NEVER_ABORTED);

/**
 * Creates a call with a timeout.
 *
 * @param clock - the clock that the deadline refers to
 * @param timeoutMs - time from now until the deadline, in milliseconds
 * @param signal - cancels the call
 * @returns the call
 */
export const callWithin = (
  clock: Clock,
  timeoutMs: number,
  signal: AbortSignal = NEVER_ABORTED,
): Call => ({
  deadlineMs: clock.monotonicMs() + timeoutMs,
  signal,
});

/**
 * Returns the time until the deadline of a call.
 *
 * @param clock - the clock that the deadline refers to
 * @param call - the call
 * @returns the remaining time in milliseconds, at least 0
 */
export const remainingMs = (clock: Clock, call: Call): number =>
  Math.max(0, call.deadlineMs - clock.monotonicMs());
