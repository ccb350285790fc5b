/**
 * Keys of jobs in the store. Everything that each entry follows lies under one prefix, so that one
 * watch carries it; what only the owner needs lies apart.
 */

/** Prefix that every entry follows. */
export const SHARED_PREFIX = 'jobs/';

/** Lease of the owner; its revision at acquisition is the owner's fencing token. */
export const OWNER_KEY = `${SHARED_PREFIX}owner`;

/** Jobs that no task was started of yet, kept by the owner. */
export const WAITING_KEY = `${SHARED_PREFIX}waiting`;

/** Accepted jobs. */
export const ACCEPTED_PREFIX = `${SHARED_PREFIX}accepted/`;

/** Cancellations asked for by callers. */
export const CANCELLED_PREFIX = `${SHARED_PREFIX}cancelled/`;

/** Final states. */
export const ENDED_PREFIX = `${SHARED_PREFIX}ended/`;

/** Progress of jobs in detail, for the owner alone. */
export const PROGRESS_PREFIX = 'progress/job/';

/** Written with every change of progress: orders the owner's writes and ends those of former owners. */
export const JOURNAL_KEY = 'progress/journal';

/** Workers that may run something on the owner's orders. */
export const ROSTER_KEY = 'progress/roster';

/** Prefix of all that the owner alone reads. */
export const OWNER_PREFIX = 'progress/';
