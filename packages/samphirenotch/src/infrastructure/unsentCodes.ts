/**
 * How a connection fails before anything is sent on it.
 */

/** Errors of undici and Node that arise before anything was sent. */
export const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
