/**
 * Answers of the resources that only show something.
 */
import { Failure } from '../failure.js';
import type { HttpExchange } from '../http/httpHandler.js';
import { writeProblem } from '../http/problem.js';
import { requestIdOf } from '../http/requestId.js';

const READS = ['GET', 'HEAD'];

/**
 * Answers a read; anything else is refused.
 *
 * @param exchange - the request and its response
 * @param type - content type of the answer
 * @param write - makes the answer
 */
export const answerRead = (
  { request, response, url }: HttpExchange,
  type: string,
  write: () => string,
): void => {
  if (!READS.includes(request.method ?? '')) {
    const failure = new Failure({
      code: 'invalid',
      step: 'http.read',
      peer: 'caller',
      effect: 'not-run',
      message: `${url.pathname} can only be read`,
    });
    writeProblem(response, failure, requestIdOf(response));
    return;
  }
  response.statusCode = 200;
  response.setHeader('Content-Type', type);
  response.end(write());
};
