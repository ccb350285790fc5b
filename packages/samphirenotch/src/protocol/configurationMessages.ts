/**
 * Checks of the messages of the configuration service at the edge of the process.
 */
import { z } from 'zod';
import { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import type { FetchPartRequest } from './generated/samphirenotch/v1/configuration.js';

const FETCH_PART_REQUEST = z.object({ digest: z.string().regex(/^[0-9a-f]{64}$/u) });

/**
 * Checks a request for a part.
 *
 * @param request - as received
 * @returns the request, or why it is refused
 */
export const checkFetchPartRequest = (
  request: FetchPartRequest,
): Result<FetchPartRequest, Failure> => {
  const checked = FETCH_PART_REQUEST.safeParse(request);
  if (checked.success) return Ok(checked.data);
  return Err(
    new Failure({
      code: 'invalid',
      step: 'configuration.fetchPart',
      peer: 'caller',
      effect: 'not-run',
      message: 'the digest is malformed',
    }),
  );
};
