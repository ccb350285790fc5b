/**
 * What a worker stand-in makes of a request: how long it takes, and an echo as the answer.
 */
import { Readable } from 'node:stream';

import type { WorkerRequest } from 'samphirenotch/infrastructure/worker.js';

import type { HistoryEvent } from './history.js';

const DEFAULT_SERVICE_MS = 5;
const INTERFERENCE_PER_TASK = 0.05;

const parametersOf = (request: WorkerRequest): URLSearchParams =>
  new URL(request.path, 'http://worker').searchParams;

/**
 * Describes a request for the history.
 *
 * @param request - the request
 * @returns fields of an event
 */
export const describeRequest = (request: WorkerRequest): Partial<HistoryEvent> => {
  const { 'idempotency-key': idempotencyKey, 'x-request-id': callerRequestId } = request.headers;
  return {
    requestId: request.requestId,
    method: request.method,
    taskClass: request.taskClass,
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    ...(callerRequestId === undefined ? {} : { callerRequestId }),
  };
};

/**
 * Tells how long a request takes: what `?ms=` asks for, stretched by the tasks beside it.
 *
 * @param request - the request
 * @param tasksBeside - number of tasks that run there
 * @returns milliseconds
 */
export const serviceMsOf = (request: WorkerRequest, tasksBeside: number): number => {
  const wantedMs = Number(parametersOf(request).get('ms') ?? DEFAULT_SERVICE_MS);
  return wantedMs * (1 + INTERFERENCE_PER_TASK * tasksBeside);
};

/**
 * Makes the body of an answer: the request's own, or as many bytes as `?bytes=` asks for.
 *
 * @param request - the request
 * @param body - its body
 * @param isCut - the answer breaks off half way
 * @returns the body
 */
export const echoBody = (request: WorkerRequest, body: Buffer, isCut: boolean): Readable => {
  const bytes = parametersOf(request).get('bytes');
  const whole = bytes === null ? body : Buffer.alloc(Number(bytes), request.requestId);
  if (!isCut) return Readable.from([whole], { objectMode: false });
  return Readable.from(
    (function* cut(): Generator<Buffer> {
      yield whole.subarray(0, Math.floor(whole.length / 2));
      throw new Error('the connection broke');
    })(),
    { objectMode: false },
  );
};
