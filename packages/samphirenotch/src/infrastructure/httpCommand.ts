/**
 * One command over HTTP with a JSON body each way, for the adapters in this folder.
 */
import { request, type Dispatcher } from 'undici';
import { z } from 'zod';

import { Failure, FAILURE_CODES } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import { remainingMs, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { UNSENT_CODES } from './unsentCodes.js';

const FAILURE_DETAIL = z.object({
  code: z.enum(FAILURE_CODES),
  effect: z.enum(['not-run', 'unknown']),
  message: z.string(),
  retryAfterMs: z.number().optional(),
});

const HTTP_ERROR = 400;

/** Where a command goes. */
export interface CommandTarget {
  readonly dispatcher: Dispatcher;
  readonly origin: string;
  /** Name of the peer in failures. */
  readonly peer: string;
}

/** What is asked. */
export interface Command<T> {
  readonly path: string;
  readonly step: string;
  readonly body: unknown;
  /** Shape of a good answer. */
  readonly answer: z.ZodType<T>;
}

/**
 * Runs an exchange that is bounded by the deadline until it resolves, and by cancellation to its
 * end. An exchange that resolves to the head of an answer may take longer for what follows.
 *
 * The deadline is a timer of our own: a timeout signal that is only part of a combined one can be
 * collected as garbage while the exchange waits, and then it never ends a silent connection.
 *
 * @param clock - the clock that the deadline was set on
 * @param call - the call
 * @param exchange - sends, and reads as much as the deadline is for
 * @returns what the exchange resolved to
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
 * Tells what an error thrown by an HTTP exchange means.
 *
 * @param error - what was thrown
 * @param step - the step that failed
 * @param peer - the peer spoken to
 * @returns the failure; `not-run` only if nothing was sent
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
 * Reads the failure that a peer answered with.
 *
 * @param body - the parsed body
 * @param step - the step that failed
 * @param peer - the peer spoken to
 * @returns the failure
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
 * @param target - where it goes
 * @param command - what is asked
 * @param clock - the clock that the call's deadline was set on
 * @param call - deadline and cancellation
 * @returns the answer, or a failure that tells whether the command may have taken effect
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

/** Sends the operations of one peer and reads their answers. */
export type OperationSender = <T>(
  operation: string,
  body: unknown,
  answer: z.ZodType<T>,
  call: Call,
) => Promise<Result<T, Failure>>;

/**
 * Makes the sender of a peer whose operations lie under one path.
 *
 * @param target - where they go
 * @param kind - first part of paths and step names, such as `store`
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
