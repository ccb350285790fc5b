/**
 * Tells a user that long work still goes on.
 */
import { SystemClock } from 'samphirenotch/time/clock.js';

const FIRST_NOTE_MS = 2_000;
const NEXT_NOTE_MS = 5_000;

/**
 * Waits for work and says now and then that it goes on.
 *
 * @param work - what is waited for
 * @param sentence - what to say
 * @param note - says it
 * @returns what the work resolved to
 */
export const withProgress = async <T>(
  work: Promise<T>,
  sentence: string,
  note: (line: string) => void,
): Promise<T> => {
  const clock = new SystemClock();
  const done = new AbortController();
  const tell = async (): Promise<void> => {
    await clock.sleep(FIRST_NOTE_MS, done.signal);
    while (!done.signal.aborted) {
      note(sentence);
      await clock.sleep(NEXT_NOTE_MS, done.signal);
    }
  };
  const telling = tell();
  try {
    return await work;
  } finally {
    done.abort();
    await telling;
  }
};
