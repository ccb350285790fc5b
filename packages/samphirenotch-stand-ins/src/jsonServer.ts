/**
 * A small HTTP server of JSON commands, for the stand-ins.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { json } from 'node:stream/consumers';

import type { Failure } from 'samphirenotch/failure.js';
import type { AttemptOrder, Renewal } from 'samphirenotch/infrastructure/worker.js';
import type { Result } from 'samphirenotch/results.js';
import type { Call } from 'samphirenotch/time/call.js';
import type { Clock } from 'samphirenotch/time/clock.js';

const CALL_TIMEOUT_MS = 60_000;
const FAILURE_STATUS = 409;

/** Every field that a command's body may have; each handler reads its own. */
export interface CommandBody {
  readonly key: string;
  readonly prefix: string;
  readonly value: string;
  readonly expectedRevision: number;
  readonly afterRevision: number;
  readonly holdMs: number;
  readonly leaseId: string;
  readonly timeToLiveMs: number;
  readonly id: string;
  readonly epoch: number;
  readonly renewals: readonly Renewal[];
  readonly acknowledged: readonly string[];
  readonly order: AttemptOrder;
  readonly attemptId: string;
  readonly share: number;
  readonly requestId: string;
}

/** Handles one command: its body in, what to answer out. */
export type CommandHandler = (body: CommandBody, call: Call) => Promise<Result<unknown, Failure>>;

/** Handles a request whole. */
export type RawHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  call: Call,
) => Promise<void>;

/** Paths and what serves them. */
export interface Routes {
  readonly commands: Readonly<Record<string, CommandHandler>>;
  readonly raw: Readonly<Record<string, RawHandler>>;
}

/**
 * Writes a failure as an answer.
 *
 * @param response - the response
 * @param failure - what went wrong
 */
export const writeFailure = (response: ServerResponse, failure: Failure): void => {
  const { code, effect, reason: message, retryAfterMs } = failure;
  response.statusCode = FAILURE_STATUS;
  response.end(JSON.stringify({ code, effect, message, retryAfterMs }));
};

const writeResult = (response: ServerResponse, result: Result<unknown, Failure>): void => {
  if (result.ok) {
    response.end(JSON.stringify(result.val ?? {}));
    return;
  }
  if (result.val.effect === 'unknown') {
    response.destroy();
    return;
  }
  writeFailure(response, result.val);
};

const callOf = (response: ServerResponse, clock: Clock): Call => {
  const closed = new AbortController();
  response.on('close', () => closed.abort());
  return { deadlineMs: clock.monotonicMs() + CALL_TIMEOUT_MS, signal: closed.signal };
};

/**
 * Makes a server; the caller makes it listen.
 *
 * @param routes - paths and handlers
 * @param clock - for deadlines
 * @returns the server
 */
export const jsonServer = (routes: Routes, clock: Clock): Server =>
  createServer((request, response) => {
    const call = callOf(response, clock);
    const path = request.url ?? '';
    const raw = routes.raw[path];
    const command = routes.commands[path];
    const served = async (): Promise<void> => {
      if (raw) return raw(request, response, call);
      if (!command) {
        response.statusCode = 404;
        response.end();
        return undefined;
      }
      const body = (await json(request)) as CommandBody;
      return writeResult(response, await command(body, call));
    };
    served().catch(() => response.destroy());
  });
