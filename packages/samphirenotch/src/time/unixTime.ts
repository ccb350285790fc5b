/**
 * Times that other processes read, on wall clocks that may differ and jump: good for priorities, not for
 * safety.
 */
import type { Clock } from './clock.js';

/** Upper limit of the age of a time, in milliseconds. */
const MAXIMUM_AGE_MS = 60_000;

/**
 * Converts a time of this process for others.
 *
 * @param clock - time
 * @param monotonicMs - monotonic time in milliseconds
 * @returns Unix time in milliseconds
 */
export const toUnixMs = (clock: Clock, monotonicMs: number): number =>
  Math.round(clock.wallMs() - (clock.monotonicMs() - monotonicMs));

/**
 * Converts a time that any process may have written.
 *
 * @param clock - time
 * @param unixMs - Unix time in milliseconds
 * @returns monotonic time in milliseconds, not in the future
 */
export const toMonotonicMs = (clock: Clock, unixMs: number): number =>
  clock.monotonicMs() - Math.min(MAXIMUM_AGE_MS, Math.max(0, clock.wallMs() - unixMs));
