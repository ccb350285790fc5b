/**
 * Waits for a call no longer than its deadline, also if the other side never answers at all.
 */
import { remainingMs, type Call } from './call.js';
import type { Clock } from './clock.js';

/**
 * Waits for a promise until the call's deadline.
 *
 * @param clock - the clock of the deadline
 * @param call - the call
 * @param pending - the promise
 * @returns what it resolved to, or nothing at the deadline or when the call was cancelled
 */
export const settleInTime = async <T>(
  clock: Clock,
  call: Call,
  pending: Promise<T>,
): Promise<T | undefined> => {
  const settled = new AbortController();
  const settle = (): void => settled.abort();
  call.signal.addEventListener('abort', settle);
  const timeout = clock.sleep(remainingMs(clock, call), settled.signal).then(() => undefined);
  try {
    return call.signal.aborted ? undefined : await Promise.race([pending, timeout]);
  } finally {
    call.signal.removeEventListener('abort', settle);
    settle();
  }
};
