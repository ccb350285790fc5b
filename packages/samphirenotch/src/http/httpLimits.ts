/**
 * Bounds on what a caller may ask of the HTTP server.
 */

/** Bounds of the HTTP server. */
export interface HttpLimits {
  /** All headers of one request together, in bytes. */
  readonly headerBytes: number;
  /** Headers of one request. */
  readonly headerCount: number;
  /** Longest address of a request, in characters. */
  readonly urlLength: number;
  /** Connections open at once. */
  readonly connections: number;
  /** Time for a caller to send the headers, in milliseconds. */
  readonly headersTimeoutMs: number;
  /** Time for a caller to send a whole request, in milliseconds. */
  readonly receiveTimeoutMs: number;
  /** Time after which an idle connection is closed, in milliseconds. */
  readonly keepAliveMs: number;
  /** Time for a handler to answer unless it sets its own, in milliseconds. */
  readonly callTimeoutMs: number;
  /** Time between the first failing readiness answer and the end of listening, in milliseconds. */
  readonly drainGraceMs: number;
}

/** Bounds used unless settings say otherwise. */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  headerBytes: 16_384,
  headerCount: 100,
  urlLength: 8_192,
  connections: 4_096,
  headersTimeoutMs: 10_000,
  receiveTimeoutMs: 300_000,
  keepAliveMs: 60_000,
  callTimeoutMs: 30_000,
  drainGraceMs: 2_000,
};
