/**
 * Failures that several modules of task handling report.
 */
import { Failure, type Effect } from '../failure.js';
import { STORE_RETRY_AFTER_MS } from './taskSettings.js';

/**
 * Makes the failure for a partition without a reachable owner. Nothing was changed.
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
 * Makes the failure for an unknown job.
 *
 * @param step - the step that failed
 * @param jobId - the requested id
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
 * Makes the failure for a store that does not answer. Nothing was changed.
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
 * Makes the failure for a change that was under way when ownership of the partition ended.
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
