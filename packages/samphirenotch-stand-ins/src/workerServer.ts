/**
 * A worker stand-in over HTTP.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';

import type { WorkerRequest } from 'samphirenotch/infrastructure/worker.js';
import { Ok } from 'samphirenotch/results.js';
import type { Call } from 'samphirenotch/time/call.js';
import type { Clock } from 'samphirenotch/time/clock.js';

import { jsonServer, writeFailure, type CommandHandler } from './jsonServer.js';
import type { MemoryWorker } from './memoryWorker.js';

const textHeader = (request: IncomingMessage, name: string): string =>
  decodeURIComponent(String(request.headers[`samphirenotch-${name}`] ?? ''));

const readRequest = (request: IncomingMessage): WorkerRequest => ({
  requestId: textHeader(request, 'request-id'),
  service: textHeader(request, 'service'),
  taskClass: textHeader(request, 'task-class'),
  tenant: textHeader(request, 'tenant'),
  method: textHeader(request, 'method'),
  path: textHeader(request, 'path'),
  headers: JSON.parse(textHeader(request, 'headers') || '{}') as Record<string, string>,
  body: request,
});

const execute = async (
  worker: MemoryWorker,
  request: IncomingMessage,
  response: ServerResponse,
  call: Call,
): Promise<void> => {
  const epoch = Number(textHeader(request, 'epoch'));
  const answer = await worker.execute(epoch, readRequest(request), call);
  if (!answer.ok && answer.val.effect === 'unknown') {
    response.destroy();
    return;
  }
  if (!answer.ok) {
    response.setHeader('samphirenotch-refused', '1');
    writeFailure(response, answer.val);
    return;
  }
  response.writeHead(answer.val.status, {
    ...answer.val.headers,
    'samphirenotch-request-id': answer.val.requestId,
  });
  await pipeline(answer.val.body, response);
};

const workerCommands = (worker: MemoryWorker): Record<string, CommandHandler> => ({
  '/worker/claim': ({ epoch }, call) => worker.claim(epoch, call),
  '/worker/heartbeat': ({ epoch, renewals, acknowledged }, call) =>
    worker.heartbeat(epoch, renewals, acknowledged, call),
  '/worker/start': ({ epoch, order }, call) => worker.start(epoch, order, call),
  '/worker/checkpoint': async ({ epoch, attemptId }, call) =>
    (await worker.checkpoint(epoch, attemptId, call)).map((checkpoint) => ({ checkpoint })),
  '/worker/throttle': ({ epoch, attemptId, share }, call) =>
    worker.throttle(epoch, attemptId, share, call),
  '/worker/stop': ({ epoch, attemptId }, call) => worker.stop(epoch, attemptId, call),
  '/worker/recall': async ({ requestId }, call) =>
    (await worker.recall(requestId, call)).map((memory) => ({ memory })),
  '/control/faults': async (faults) => Ok(Object.assign(worker.faults, faults)),
});

/**
 * Makes the server of a worker stand-in.
 *
 * @param worker - the worker behind it
 * @param clock - for deadlines
 * @returns the server, not yet listening
 */
export const workerServer = (worker: MemoryWorker, clock: Clock): Server =>
  jsonServer(
    {
      commands: workerCommands(worker),
      raw: {
        '/worker/execute': (request, response, call) => execute(worker, request, response, call),
      },
    },
    clock,
  );
