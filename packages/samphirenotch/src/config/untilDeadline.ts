/**
 * Repeats a call that fails for the moment, more slowly each time, until its deadline.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import { remainingMs, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';

const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 1_000;

/**
 * Computes the pause before another try.
 *
 * @param tries - how many tries have failed
 * @returns milliseconds
 */
export const pauseMs = (tries: number): number =>
  Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(tries, 10));

/**
 * Repeats an attempt until it succeeds.
 *
 * @param clock - the clock of the deadline
 * @param call - the call
 * @param attempt - what to try; safe to repeat
 * @returns the first success, or the last failure before the deadline
 */
export const untilDeadline = async <T>(
  clock: Clock,
  call: Call,
  attempt: () => Promise<Result<T, Failure>>,
): Promise<Result<T, Failure>> => {
  for (let tries = 0; ; tries += 1) {
    const result = await attempt();
    if (result.ok || result.val.code === 'invalid') return result;
    const pause = pauseMs(tries);
    if (call.signal.aborted || remainingMs(clock, call) <= pause) return result;
    await clock.sleep(pause, call.signal);
  }
};
