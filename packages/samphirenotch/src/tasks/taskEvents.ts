/**
 * Streams the changes of one task to a caller as server-sent events.
 */
import type { ServerResponse } from 'node:http';
import { Failure } from '../failure.js';
import type { HttpExchange } from '../http/httpHandler.js';
import { writeProblem } from '../http/problem.js';
import type { Clock } from '../time/clock.js';
import { detach } from './detach.js';
import type { TaskQueries } from './taskOperations.js';
import type { TaskView } from './taskView.js';

const KEEP_ALIVE_INTERVAL_MS = 15_000;
/** Buffered bytes above which a caller that reads too slowly is disconnected. */
const MAXIMUM_UNSENT_BYTES = 256 * 1024;

const writeHeaders = (response: ServerResponse): void => {
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
    await clock.sleep(KEEP_ALIVE_INTERVAL_MS, signal);
    if (!signal.aborted && response.headersSent) response.write(': still here\n\n');
  }
};

const entryStopping = (): Failure =>
  new Failure({
    code: 'unavailable',
    step: 'tasks.follow',
    peer: 'self',
    effect: 'not-run',
    message: 'the entry is stopping; follow again',
    retryAfterMs: 0,
  });

const endWithFailure = (response: ServerResponse, failure: Failure, requestId: string): void => {
  if (!response.headersSent) {
    writeProblem(response, failure, requestId);
    return;
  }
  const { code, effect, message } = failure;
  response.end(`event: problem\ndata: ${JSON.stringify({ code, effect, detail: message })}\n\n`);
};

/**
 * Streams the changes of a task until it has ended, the caller disconnects or the entry begins to
 * stop. Also disconnects a caller that reads too slowly.
 *
 * @param exchange - the HTTP request and its response
 * @param queries - queries at the owner of the job
 * @param jobId - the job
 * @param clock - schedules keep-alive comments
 * @param requestId - id of the request, named in a problem document
 */
export const streamTaskEvents = async (
  { response, call, draining }: HttpExchange,
  queries: TaskQueries,
  jobId: string,
  clock: Clock,
  requestId: string,
): Promise<void> => {
  const stop = new AbortController();
  const onStop = (): void => stop.abort();
  const signals = [call.signal, draining];
  if (signals.some(({ aborted }) => aborted)) onStop();
  signals.forEach((signal) => signal.addEventListener('abort', onStop));
  response.on('close', onStop);
  const onView = (view: TaskView): void => {
    writeHeaders(response);
    response.write(`event: task\ndata: ${JSON.stringify(view)}\n\n`);
    if (response.writableLength > MAXIMUM_UNSENT_BYTES) response.destroy();
  };
  detach(keepAlive(response, clock, stop.signal));
  const followCall = { deadlineMs: Infinity, signal: stop.signal };
  const followed = await queries.follow(jobId, onView, followCall);
  signals.forEach((signal) => signal.removeEventListener('abort', onStop));
  stop.abort();
  if (draining.aborted) endWithFailure(response, entryStopping(), requestId);
  else if (followed.err) endWithFailure(response, followed.val, requestId);
  else response.end();
};
