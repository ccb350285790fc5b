/**
 * Runs work in the background.
 */
import { partLog } from '../observability/log.js';

const log = partLog('tasks');

/**
 * Lets work continue without waiting for it. If it throws, the error is logged.
 *
 * @param work - promise of the work
 */
export const detach = (work: Promise<unknown>): void => {
  work.catch((error: unknown) => {
    log.error('Unexpected error.', { error: error instanceof Error ? error.stack : String(error) });
  });
};
