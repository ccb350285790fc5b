/**
 * Lets work go on beside its caller.
 */
import { partLog } from '../observability/log.js';

const log = partLog('tasks');

/**
 * Lets work go on; an unexpected error is logged.
 *
 * @param work - the work
 */
export const detach = (work: Promise<unknown>): void => {
  work.catch((error: unknown) => {
    log.error('Unexpected error.', { error: error instanceof Error ? error.stack : String(error) });
  });
};
