/**
 * Sends the changes of one task to a caller as server-sent events.
 */
import type { ServerResponse } from 'node:http';
import type { Failure } from '../failure.js';
import { writeProblem } from '../http/problem.js';
import type { Call } from '../time/call.js';
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

const endWith = (response: ServerResponse, failure: Failure, requestId: string): void => {
  if (!response.headersSent) {
    writeProblem(response, failure, requestId);
    return;
  }
  const { code, effect, message } = failure;
  response.end(`event: problem\ndata: ${JSON.stringify({ code, effect, detail: message })}\n\n`);
};

/**
 * Follows a task until it has ended or the caller goes away.
 *
 * @param response - where the events go
 * @param queries - where the job is decided on
 * @param jobId - the job
 * @param call - aborted when the caller goes away
 * @param clock - for signs of life
 * @param requestId - id for logs
 */
export const sendEvents = async (
  response: ServerResponse,
  queries: TaskQueries,
  jobId: string,
  call: Call,
  clock: Clock,
  requestId: string,
): Promise<void> => {
  const stop = new AbortController();
  const leave = (): void => stop.abort();
  if (call.signal.aborted) leave();
  call.signal.addEventListener('abort', leave);
  response.on('close', leave);
  const onView = (view: TaskView): void => {
    begin(response);
    response.write(`event: task\ndata: ${JSON.stringify(view)}\n\n`);
    if (response.writableLength > UNSENT_BYTES_MAXIMUM) response.destroy();
  };
  detach(keepAlive(response, clock, stop.signal));
  const within = { deadlineMs: Infinity, signal: stop.signal };
  const followed = await queries.follow(jobId, onView, within);
  call.signal.removeEventListener('abort', leave);
  stop.abort();
  if (followed.err) endWith(response, followed.val, requestId);
  else response.end();
};
