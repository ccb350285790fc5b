/**
 * The source of time of the scheduler, behind an interface so that tests can control it.
 */

import { offAbort, onAbort } from './abortListeners.js';

/** A source of time. */
export interface Clock {
  /**
   * Reads a clock that never goes backwards and that keeps running while the process is paused.
   *
   * @returns milliseconds since an arbitrary origin
   */
  monotonicMs(): number;

  /**
   * Reads the wall clock.
   *
   * @returns milliseconds since the Unix epoch
   */
  wallMs(): number;

  /**
   * Waits for a duration.
   *
   * @param durationMs - the duration, in milliseconds
   * @param signal - ends the wait early
   * @returns a promise that resolves after the duration or, without an error, when the signal
   * aborts
   */
  sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
}

/** The system clock. */
export class SystemClock implements Clock {
  monotonicMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const finish = (): void => {
        clearTimeout(timer);
        if (signal) offAbort(signal, finish);
        resolve();
      };
      timer = setTimeout(finish, durationMs);
      if (signal) onAbort(signal, finish);
    });
  }
}
