/**
 * Sends the changes of one task to a caller as server-sent events.
 */
import type { ServerResponse } from 'node:http';
import { Failure } from '../failure.js';
import type { HttpExchange } from '../http/httpHandler.js';
import { writeProblem } from '../http/problem.js';
import type { Clock } from '../time/clock.js';
import { detach } from './detach.js';
import type { TaskQueries } from './taskOperations.js';
import type { TaskView } from './taskView.js';

const KEEP_ALIVE_MS = 15_000;
const UNSENT_BYTES_MAXIMUM = 256 * 1024;

const begin = (response: ServerResponse): void => {
  if (response.headersSent) return;
  response.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'Cache-Control': 'no-store',
  });
};

const keepAlive = async (
  response: ServerResponse,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    await clock.sleep(KEEP_ALIVE_MS, signal);
    if (!signal.aborted && response.headersSent) response.write(': still here\n\n');
  }
};

const entryStops = (): Failure =>
  new Failure({
    code: 'unavailable',
    step: 'tasks.follow',
    peer: 'self',
    effect: 'not-run',
    message: 'the entry is stopping; follow again',
    retryAfterMs: 0,
  });

const endWith = (response: ServerResponse, failure: Failure, requestId: string): void => {
  if (!response.headersSent) {
    writeProblem(response, failure, requestId);
    return;
  }
  const { code, effect, message } = failure;
  response.end(`event: problem\ndata: ${JSON.stringify({ code, effect, detail: message })}\n\n`);
};

/**
 * Follows a task until it has ended, the caller goes away or the entry begins to stop.
 *
 * @param exchange - where the events go
 * @param queries - where the job is decided on
 * @param jobId - the job
 * @param clock - for signs of life
 * @param requestId - id for logs
 */
export const sendEvents = async (
  { response, call, draining }: HttpExchange,
  queries: TaskQueries,
  jobId: string,
  clock: Clock,
  requestId: string,
): Promise<void> => {
  const stop = new AbortController();
  const leave = (): void => stop.abort();
  const signals = [call.signal, draining];
  if (signals.some(({ aborted }) => aborted)) leave();
  signals.forEach((signal) => signal.addEventListener('abort', leave));
  response.on('close', leave);
  const onView = (view: TaskView): void => {
    begin(response);
    response.write(`event: task\ndata: ${JSON.stringify(view)}\n\n`);
    if (response.writableLength > UNSENT_BYTES_MAXIMUM) response.destroy();
  };
  detach(keepAlive(response, clock, stop.signal));
  const within = { deadlineMs: Infinity, signal: stop.signal };
  const followed = await queries.follow(jobId, onView, within);
  signals.forEach((signal) => signal.removeEventListener('abort', leave));
  stop.abort();
  if (draining.aborted) endWith(response, entryStops(), requestId);
  else if (followed.err) endWith(response, followed.val, requestId);
  else response.end();
};
