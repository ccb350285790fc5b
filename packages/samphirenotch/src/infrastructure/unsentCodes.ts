/**
 * Error codes of connections that fail before anything is sent.
 */

/** Error codes of undici and Node.js which prove that nothing was sent. */
export const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
