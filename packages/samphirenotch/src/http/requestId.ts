/**
 * The id under which caller, logs and failures speak of a request.
 */
import type { ServerResponse } from 'node:http';

/** Header that carries the id, both ways. */
export const REQUEST_ID_HEADER = 'x-request-id';

/**
 * Finds the id of a request by the response that the server prepared for it.
 *
 * @param response - the response
 * @returns the id
 */
export const requestIdOf = (response: ServerResponse): string =>
  String(response.getHeader(REQUEST_ID_HEADER) ?? '');
