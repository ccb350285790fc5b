/**
 * Hears of the end of signals that very many calls listen to.
 *
 * A listener on a signal costs more than the rest of a short call; here every signal has one, and calls
 * come and go in a set.
 */
const listeners = new WeakMap<AbortSignal, Set<() => void>>();

const setOf = (signal: AbortSignal): Set<() => void> => {
  const known = listeners.get(signal);
  if (known) return known;
  const made = new Set<() => void>();
  listeners.set(signal, made);
  signal.addEventListener('abort', () => {
    listeners.delete(signal);
    made.forEach((listener) => listener());
  });
  return made;
};

/**
 * Calls a function when a signal is aborted; never for one that is aborted already.
 *
 * @param signal - the signal
 * @param listener - the function
 */
export const onAbort = (signal: AbortSignal, listener: () => void): void => {
  if (!signal.aborted) setOf(signal).add(listener);
};

/**
 * Ends what `onAbort` began.
 *
 * @param signal - the signal
 * @param listener - the function
 */
export const offAbort = (signal: AbortSignal, listener: () => void): void => {
  listeners.get(signal)?.delete(listener);
};
