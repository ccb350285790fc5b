/**
 * Failures as callers see them: problem details by RFC 9457.
 */
import type { ServerResponse } from 'node:http';
import type { Failure, FailureCode } from '../failure.js';

const STATUS_OF: Readonly<Record<FailureCode, number>> = {
  invalid: 400,
  'not-found': 404,
  conflict: 409,
  overloaded: 503,
  deadline: 504,
  cancelled: 499,
  unavailable: 503,
  'stale-epoch': 503,
  'not-owner': 503,
  internal: 500,
};

const MS_PER_SECOND = 1000;

/**
 * Finds the HTTP status of a failure.
 *
 * @param failure - the failure
 * @returns the status code
 */
export const statusOf = (failure: Failure): number => STATUS_OF[failure.code];

/** What a handler adds to the usual problem. */
export interface ProblemExtras {
  /** Status in place of the usual one of the failure's code. */
  readonly status?: number;
  /** Further members of the document. */
  readonly members?: Readonly<Record<string, string | number>>;
}

/**
 * Answers a request with a failure. Does nothing but end the connection once an answer has begun.
 *
 * @param response - the response to write
 * @param failure - what went wrong
 * @param requestId - id under which the logs speak of the request
 * @param extras - what differs from the usual problem
 */
export const writeProblem = (
  response: ServerResponse,
  failure: Failure,
  requestId: string,
  extras: ProblemExtras = {},
): void => {
  if (response.headersSent) {
    response.destroy(failure);
    return;
  }
  const status = extras.status ?? statusOf(failure);
  response.statusCode = status;
  response.setHeader('Content-Type', 'application/problem+json');
  if (failure.retryAfterMs !== undefined) {
    response.setHeader('Retry-After', Math.max(1, Math.ceil(failure.retryAfterMs / MS_PER_SECOND)));
  }
  response.end(
    JSON.stringify({
      type: `urn:samphirenotch:problem:${failure.code}`,
      title: failure.code,
      status,
      detail: failure.reason,
      outcome: failure.effect,
      step: failure.step,
      peer: failure.peer,
      requestId,
      ...(failure.retryAfterMs === undefined ? {} : { retryAfterMs: failure.retryAfterMs }),
      ...extras.members,
    }),
  );
};
