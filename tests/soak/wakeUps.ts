/**
 * Waits of the stand-ins that something else may end.
 */

/**
 * Waits for a wake-up.
 *
 * @param waiting - holds the wait; its members are called to end it
 * @param longestMs - the longest wait, in milliseconds
 */
export const waitForWake = (waiting: Set<() => void>, longestMs: number): Promise<void> =>
  new Promise((resolve) => {
    const ends: (() => void)[] = [];
    const wake = (): void => {
      ends.forEach((end) => end());
      resolve();
    };
    const timer = setTimeout(wake, Math.max(0, longestMs));
    ends.push(
      () => clearTimeout(timer),
      () => waiting.delete(wake),
    );
    waiting.add(wake);
  });
