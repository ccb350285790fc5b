/**
 * The abort reason of calls whose result is no longer needed.
 */

const callEnded = new Error('The call has ended.');
callEnded.name = 'AbortError';

/**
 * Shared by all calls, because creating an error for each ended request costs more than ending it.
 */
export const CALL_ENDED: Error = Object.freeze(callEnded);
