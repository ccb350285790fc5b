/**
 * Joins cancellations.
 */

/**
 * Makes a signal that is aborted as soon as one of several is, for the same reason.
 *
 * @param signals - the signals
 * @returns the joined signal
 */
export const anyAborted = (...signals: readonly AbortSignal[]): AbortSignal => {
  const joined = new AbortController();
  const aborted = signals.find((signal) => signal.aborted);
  if (aborted) joined.abort(aborted.reason);
  for (const signal of signals) {
    signal.addEventListener('abort', () => joined.abort(signal.reason), {
      once: true,
      signal: joined.signal,
    });
  }
  return joined.signal;
};
