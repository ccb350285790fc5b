/**
 * The reason with which calls are ended that nobody waits for any more.
 */

const ended = new Error('The call has ended.');
ended.name = 'AbortError';

/** One shared reason: making an exception for every request that ends costs more than ending it. */
export const CALL_ENDED: Error = Object.freeze(ended);
