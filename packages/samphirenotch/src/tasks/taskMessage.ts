/**
 * Checks messages between entries.
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
 * Checks a request of a peer.
 *
 * @param schema - what is accepted
 * @param value - what came
 * @param step - the step, for the failure
 * @returns the checked value
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
 * Checks an answer of a peer.
 *
 * @param schema - what is accepted
 * @param value - what came
 * @param step - the step, for the failure
 * @param peer - the peer
 * @returns the checked value
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
