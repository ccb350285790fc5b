/**
 * Hears of the end of signals that very many calls listen to.
 *
 * A listener on a signal costs more than the rest of a short call; here every signal has one, and calls
 * come and go in a set.
 */
const listenersBySignal = new WeakMap<AbortSignal, Set<() => void>>();

const listenersOf = (signal: AbortSignal): Set<() => void> => {
  const known = listenersBySignal.get(signal);
  if (known) return known;
  const created = new Set<() => void>();
  listenersBySignal.set(signal, created);
  signal.addEventListener('abort', () => {
    listenersBySignal.delete(signal);
    created.forEach((listener) => listener());
  });
  return created;
};

/**
 * Calls a function when a signal is aborted; never for one that is aborted already.
 *
 * @param signal - the signal
 * @param listener - the function
 */
export const onAbort = (signal: AbortSignal, listener: () => void): void => {
  if (!signal.aborted) listenersOf(signal).add(listener);
};

/**
 * Ends what `onAbort` began.
 *
 * @param signal - the signal
 * @param listener - the function
 */
export const offAbort = (signal: AbortSignal, listener: () => void): void => {
  listenersBySignal.get(signal)?.delete(listener);
};
