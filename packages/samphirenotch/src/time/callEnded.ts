/**
 * The reason with which calls are ended that nobody waits for any more.
 */

const callEnded = new Error('The call has ended.');
callEnded.name = 'AbortError';

/** One shared reason: making an exception for every request that ends costs more than ending it. */
export const CALL_ENDED: Error = Object.freeze(callEnded);
