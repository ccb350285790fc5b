/**
 * Reads and writes JSON bodies of the configuration resource.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';

/** A longer body is refused. */
const LONGEST_BODY_BYTES = 16 * 1024 * 1024;

const invalid = (message: string): Failure =>
  new Failure({
    code: 'invalid',
    step: 'configuration.http',
    peer: 'caller',
    effect: 'not-run',
    message,
  });

/**
 * Reads a JSON body.
 *
 * @param request - the request
 * @returns the value; a failure if the body is too long, cut off or not JSON
 */
export const readJsonBody = async (request: IncomingMessage): Promise<Result<unknown, Failure>> => {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of request) {
      const bytes = Buffer.from(chunk);
      length += bytes.length;
      if (length > LONGEST_BODY_BYTES) {
        return Err(invalid(`the body is longer than ${LONGEST_BODY_BYTES} bytes`));
      }
      chunks.push(bytes);
    }
    return Ok(JSON.parse(Buffer.concat(chunks).toString('utf8')));
  } catch {
    return Err(invalid('the body is not JSON'));
  }
};

/**
 * Answers with JSON.
 *
 * @param response - the response
 * @param status - HTTP status
 * @param value - what to write
 * @param type - content type
 */
export const writeJson = (
  response: ServerResponse,
  status: number,
  value: unknown,
  type = 'application/json',
): void => {
  response.statusCode = status;
  response.setHeader('Content-Type', type);
  response.end(`${JSON.stringify(value)}\n`);
};
