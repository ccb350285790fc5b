/**
 * What is passed down every call: until when an answer is of use, and whether it is still wanted.
 */
import { setMaxListeners } from 'node:events';
import type { Clock } from './clock.js';

/** Deadline and cancellation of a call. */
export interface Call {
  /** Monotonic time after which the answer is of no use, in milliseconds. */
  readonly deadlineMs: number;
  /** Aborted when the answer is no longer wanted. */
  readonly signal: AbortSignal;
  /** Asked right before a call that had to wait is sent; if false, it is given up as not run. */
  readonly isWanted?: () => boolean;
}

const NEVER_ABORTED = new AbortController().signal;
setMaxListeners(0, NEVER_ABORTED);

// Shared by all calls without a cancellation of their own.
setMaxListeners(0, NEVER_ABORTED);

/**
 * Makes a call that ends after a while.
 *
 * @param clock - the clock that the deadline is read on
 * @param timeoutMs - how long the call may take, in milliseconds
 * @param signal - cancellation to pass on
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
 * Tells how much time a call has left.
 *
 * @param clock - the clock that the deadline was set on
 * @param call - the call
 * @returns milliseconds left, not below zero
 */
export const remainingMs = (clock: Clock, call: Call): number =>
  Math.max(0, call.deadlineMs - clock.monotonicMs());
