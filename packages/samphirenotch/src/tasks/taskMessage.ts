/**
 * Validates messages between entries.
 */
import type { z } from 'zod';
import { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';

const check = <S extends z.ZodType>(
  schema: S,
  value: unknown,
  failure: (message: string) => Failure,
): Result<z.infer<S>, Failure> => {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  return Err(failure(parsed.error.issues.map((issue) => issue.message).join('; ')));
};

/**
 * Validates a request of a peer.
 *
 * @param schema - schema of the request
 * @param value - the received message
 * @param step - name of the step, for the failure
 * @returns the validated value, or a failure with the code `invalid`
 */
export const checkRequest = <S extends z.ZodType>(
  schema: S,
  value: unknown,
  step: string,
): Result<z.infer<S>, Failure> =>
  check(
    schema,
    value,
    (message) => new Failure({ code: 'invalid', step, peer: 'caller', effect: 'not-run', message }),
  );

/**
 * Validates an answer of a peer.
 *
 * @param schema - schema of the answer
 * @param value - the received message
 * @param step - name of the step, for the failure
 * @param peer - id of the peer, for the failure
 * @returns the validated value, or a failure with the code `internal`
 */
export const checkAnswer = <S extends z.ZodType>(
  schema: S,
  value: unknown,
  step: string,
  peer: string,
): Result<z.infer<S>, Failure> =>
  check(
    schema,
    value,
    (message) => new Failure({ code: 'internal', step, peer, effect: 'unknown', message }),
  );
