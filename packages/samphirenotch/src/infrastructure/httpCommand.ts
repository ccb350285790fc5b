/**
 * Sends commands over HTTP, with JSON bodies in requests and answers. Used by the adapters in this
 * folder.
 */
import { request, type Dispatcher } from 'undici';
import { z } from 'zod';

import { Failure, FAILURE_CODES } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import { remainingMs, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { listeningMs } from '../time/ownDelay.js';
import { UNSENT_CODES } from './unsentCodes.js';

const FAILURE_DETAIL = z.object({
  code: z.enum(FAILURE_CODES),
  effect: z.enum(['not-run', 'unknown']),
  message: z.string(),
  retryAfterMs: z.number().optional(),
});

const HTTP_ERROR = 400;

/** The peer that a command is sent to. */
export interface CommandTarget {
  readonly dispatcher: Dispatcher;
  readonly origin: string;
  /** Name of the peer for failures. */
  readonly peer: string;
}

/** A command and the schema of its answer. */
export interface Command<T> {
  readonly path: string;
  /** Name of the step for failures. */
  readonly step: string;
  readonly body: unknown;
  /** Schema of a successful answer. */
  readonly answer: z.ZodType<T>;
}

/**
 * Runs an HTTP exchange and aborts it at the deadline or when the call is cancelled. The deadline
 * applies until the exchange resolves, cancellation also afterwards. If the exchange resolves to
 * the head of an answer, the body may take longer than the deadline. A process that was late itself
 * goes on listening for a while.
 *
 * The deadline is a separate timer, not `AbortSignal.timeout`: a timeout signal that is referenced
 * only by a combined signal can be garbage-collected while the exchange waits, and then a silent
 * connection never ends.
 *
 * @param clock - the clock that the deadline was set on
 * @param call - deadline and cancellation
 * @param exchange - sends the request and reads that part of the answer that the deadline covers
 * @returns the result of the exchange
 */
export const withinDeadline = async <T>(
  clock: Clock,
  call: Call,
  exchange: (signal: AbortSignal) => Promise<T>,
): Promise<T> => {
  const resolved = new AbortController();
  const deadlinePassed = new AbortController();
  const abortAtDeadline = async (): Promise<void> => {
    await clock.sleep(remainingMs(clock, call), resolved.signal);
    await clock.sleep(listeningMs(clock.monotonicMs() - call.deadlineMs), resolved.signal);
    if (resolved.signal.aborted) return;
    deadlinePassed.abort(new DOMException('no answer in time', 'TimeoutError'));
  };
  abortAtDeadline().catch(() => deadlinePassed.abort());
  try {
    return await exchange(AbortSignal.any([call.signal, deadlinePassed.signal]));
  } finally {
    resolved.abort();
  }
};

/**
 * Converts an error thrown by an HTTP exchange to a failure.
 *
 * @param error - the thrown error
 * @param step - the step that failed
 * @param peer - name of the peer
 * @returns the failure; its effect is `not-run` only if nothing was sent
 */
export const exchangeFailure = (error: unknown, step: string, peer: string): Failure => {
  const { code, name, message } = error as { code?: string; name?: string; message?: string };
  const unsent = code !== undefined && UNSENT_CODES.has(code);
  const timedOut = name === 'TimeoutError' || name === 'AbortError';
  return new Failure({
    code: timedOut ? 'deadline' : 'unavailable',
    step,
    peer,
    effect: unsent ? 'not-run' : 'unknown',
    message: message || code || 'the connection failed',
  });
};

/**
 * Reads a failure from the body of an answer.
 *
 * @param body - the parsed JSON body
 * @param step - the step that failed
 * @param peer - name of the peer
 * @returns the failure; code `internal` and effect `unknown` if the body cannot be read
 */
export const answeredFailure = (body: unknown, step: string, peer: string): Failure => {
  const parsed = FAILURE_DETAIL.safeParse(body);
  if (parsed.success) return new Failure({ ...parsed.data, step, peer });
  return new Failure({
    code: 'internal',
    step,
    peer,
    effect: 'unknown',
    message: 'the answer could not be read',
  });
};

const exchange = async <T>(
  target: CommandTarget,
  command: Command<T>,
  signal: AbortSignal,
): Promise<{ readonly statusCode: number; readonly body: unknown }> => {
  const response = await request(`${target.origin}${command.path}`, {
    method: 'POST',
    dispatcher: target.dispatcher,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(command.body),
    signal,
  });
  return { statusCode: response.statusCode, body: await response.body.json() };
};

/**
 * Sends a command and reads its answer.
 *
 * @param target - the peer
 * @param command - the command
 * @param clock - the clock that the call's deadline was set on
 * @param call - deadline and cancellation
 * @returns the answer, or a failure whose effect says whether the command may have run
 */
export const sendCommand = async <T>(
  target: CommandTarget,
  command: Command<T>,
  clock: Clock,
  call: Call,
): Promise<Result<T, Failure>> => {
  const { step } = command;
  if (call.signal.aborted || remainingMs(clock, call) <= 0) {
    const message = 'the call ended before it was sent';
    return Err(
      new Failure({ code: 'deadline', step, peer: target.peer, effect: 'not-run', message }),
    );
  }
  try {
    const { statusCode, body } = await withinDeadline(clock, call, (signal) =>
      exchange(target, command, signal),
    );
    if (statusCode >= HTTP_ERROR) return Err(answeredFailure(body, step, target.peer));
    const parsed = command.answer.safeParse(body);
    if (!parsed.success) return Err(answeredFailure(undefined, step, target.peer));
    return Ok(parsed.data);
  } catch (error) {
    return Err(exchangeFailure(error, step, target.peer));
  }
};

/** Sends an operation to a peer and reads its answer. */
export type OperationSender = <T>(
  operation: string,
  body: unknown,
  answer: z.ZodType<T>,
  call: Call,
) => Promise<Result<T, Failure>>;

/**
 * Creates the sender for a peer whose operations share one path prefix.
 *
 * @param target - the peer
 * @param kind - first part of the paths and step names, such as `store`
 * @param clock - the clock that deadlines are set on
 * @returns the sender
 */
export const operationSender =
  (target: CommandTarget, kind: string, clock: Clock): OperationSender =>
  (operation, body, answer, call) =>
    sendCommand(
      target,
      { path: `/${kind}/${operation}`, step: `${kind}.${operation}`, body, answer },
      clock,
      call,
    );
