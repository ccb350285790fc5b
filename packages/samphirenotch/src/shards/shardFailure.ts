/**
 * Failures of the shards part.
 */
import { Failure, type FailureCode } from '../failure.js';

/**
 * Makes a failure of something that was not done and will not be.
 *
 * @param step - the step
 * @param peer - worker or entry
 * @param code - why
 * @param message - what happened
 * @returns the failure
 */
export const notRun = (step: string, peer: string, code: FailureCode, message: string): Failure =>
  new Failure({ code, step, peer, effect: 'not-run', message });

/**
 * Makes a failure of something that may have been done.
 *
 * @param step - the step
 * @param peer - worker or entry
 * @param code - why
 * @param message - what happened
 * @returns the failure
 */
export const unknownEffect = (
  step: string,
  peer: string,
  code: FailureCode,
  message: string,
): Failure => new Failure({ code, step, peer, effect: 'unknown', message });
