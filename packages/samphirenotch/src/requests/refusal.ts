/**
 * Makes failures of requests that certainly did not run.
 */
import { Failure, type FailureCode } from '../failure.js';

/** Where a request was refused, and why. */
export interface RefusalReason {
  readonly code: FailureCode;
  readonly step: string;
  /** Name of this entry, or of the worker or peer that was not asked. */
  readonly peer: string;
  readonly message: string;
  /** When it makes sense to ask again, in milliseconds from now. */
  readonly retryAfterMs?: number;
}

/**
 * Refuses a request that was not sent.
 *
 * @param reason - where and why
 * @returns the failure
 */
export const refusal = (reason: RefusalReason): Failure =>
  new Failure({ ...reason, effect: 'not-run' });

/**
 * Changes what a failure says of its effect.
 *
 * @param failure - the failure
 * @param effect - the effect to tell
 * @returns the failure with that effect
 */
export const withEffect = (failure: Failure, effect: Failure['effect']): Failure => {
  if (failure.effect === effect) return failure;
  const { code, step, peer, reason, retryAfterMs } = failure;
  const timed = retryAfterMs === undefined ? {} : { retryAfterMs };
  return new Failure({ code, step, peer, message: reason, effect, ...timed });
};
