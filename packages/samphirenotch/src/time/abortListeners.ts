/**
 * Abort listeners for signals that are shared by very many calls.
 *
 * Adding and removing an event listener costs more than the rest of a short call. Therefore each
 * signal has a single event listener here, and the calls are kept in a set.
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
 * Registers a listener that is called when a signal aborts. It is never called if the signal has
 * already aborted.
 *
 * @param signal - the signal
 * @param listener - called without arguments
 */
export const onAbort = (signal: AbortSignal, listener: () => void): void => {
  if (!signal.aborted) listenersOf(signal).add(listener);
};

/**
 * Removes a listener that was registered with `onAbort`.
 *
 * @param signal - the signal
 * @param listener - the registered listener
 */
export const offAbort = (signal: AbortSignal, listener: () => void): void => {
  listenersBySignal.get(signal)?.delete(listener);
};
