/**
 * Constructors for failures of operations on shards.
 */
import { Failure, type FailureCode } from '../failure.js';

/**
 * Makes a failure of an operation that took no effect and will not take any later.
 *
 * @param step - name of the step that failed
 * @param peer - id of the worker or entry, or name of the shard, that was addressed
 * @param code - failure code
 * @param message - description of the failure
 * @returns the failure
 */
export const notRun = (step: string, peer: string, code: FailureCode, message: string): Failure =>
  new Failure({ code, step, peer, effect: 'not-run', message });

/**
 * Makes a failure of an operation that may have taken effect.
 *
 * @param step - name of the step that failed
 * @param peer - id of the worker or entry, or name of the shard, that was addressed
 * @param code - failure code
 * @param message - description of the failure
 * @returns the failure
 */
export const unknownEffect = (
  step: string,
  peer: string,
  code: FailureCode,
  message: string,
): Failure => new Failure({ code, step, peer, effect: 'unknown', message });
