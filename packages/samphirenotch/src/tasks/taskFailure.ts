/**
 * Failures of task handling that several modules report.
 */
import { Failure, type Effect } from '../failure.js';
import { STORE_RETRY_AFTER_MS } from './taskSettings.js';

/**
 * Says that nothing could be done since the partition is in no reachable hands.
 *
 * @param step - the step that failed
 * @param partition - the partition
 * @returns the failure
 */
export const notOwned = (step: string, partition: string): Failure =>
  new Failure({
    code: 'not-owner',
    step,
    peer: partition,
    effect: 'not-run',
    message: `nobody who can be reached owns ${partition} now`,
    retryAfterMs: STORE_RETRY_AFTER_MS,
  });

/**
 * Says that there is no such job.
 *
 * @param step - the step that failed
 * @param jobId - id asked for
 * @returns the failure
 */
export const notFound = (step: string, jobId: string): Failure =>
  new Failure({
    code: 'not-found',
    step,
    peer: jobId,
    effect: 'not-run',
    message: `there is no task ${jobId}`,
  });

/**
 * Says that the store does not answer and that nothing was changed.
 *
 * @param step - the step that failed
 * @param partition - the partition
 * @returns the failure
 */
export const storeUnavailable = (step: string, partition: string): Failure =>
  new Failure({
    code: 'unavailable',
    step,
    peer: partition,
    effect: 'not-run',
    message: 'the store does not answer, and nothing is accepted that it has not stored',
    retryAfterMs: STORE_RETRY_AFTER_MS,
  });

/**
 * Says that the partition was given up with a change under way.
 *
 * @param step - the step that failed
 * @param partition - the partition
 * @param effect - whether the change may have been stored
 * @returns the failure
 */
export const ownershipLost = (step: string, partition: string, effect: Effect): Failure =>
  new Failure({
    code: 'not-owner',
    step,
    peer: partition,
    effect,
    message: 'this entry does not own the partition any more',
    retryAfterMs: STORE_RETRY_AFTER_MS,
  });
