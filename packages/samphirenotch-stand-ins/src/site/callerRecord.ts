/**
 * What a caller was told.
 */

/** The end of one request, as its caller saw it. */
export interface CallerRecord {
  readonly requestId: string;
  readonly taskClass: string;
  readonly idempotencyKey?: string;
  readonly outcome: 'answered' | 'not-run' | 'unknown';
  /** Code of the problem that was answered; nothing if the connection broke. */
  readonly problem?: string;
  /** The body of the answer was whole and the caller's own. */
  readonly bodyMatches?: boolean;
  readonly latencyMs: number;
  /** When to come back, if the caller was told. */
  readonly retryAfterMs?: number;
}

/** A task that was accepted. */
export interface SubmittedTask {
  readonly id: string;
  readonly taskClass: string;
}
