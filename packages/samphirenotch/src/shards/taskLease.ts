/**
 * Times of the leases under which attempts run at workers, and what may be concluded from them.
 */

/** Lease that renewals ask for, and the longest that a start may ask for, in milliseconds. */
export const TASK_LEASE_MS = 12_000;

/** Allowance for clocks that drift apart and for messages under way, in milliseconds. */
export const TASK_LEASE_MARGIN_MS = 2000;

/** Pause between heartbeats to one worker, in milliseconds. */
export const WORKER_HEARTBEAT_INTERVAL_MS = 1000;

/** How long one heartbeat to a worker may take, in milliseconds. */
export const WORKER_HEARTBEAT_TIMEOUT_MS = 1000;

/** How long a start may take, in milliseconds. */
export const START_TIMEOUT_MS = 1000;

/** Oldest confirmation of the configuration with which a start is sent, in milliseconds. */
export const MAXIMUM_START_CONFIGURATION_AGE_MS = 3000;

/**
 * Attempts of classes that restart after a cut are renewed for this long after their partition's
 * owner last took a report, counted from the sending of the report, in milliseconds.
 */
export const REPORT_WINDOW_MS = 4000;

/** Longest time that an attempt runs on after the end of the call that renewed it, in milliseconds. */
export const OWN_RENEWAL_EXPIRY_MS = TASK_LEASE_MS + TASK_LEASE_MARGIN_MS;

/**
 * Longest time that an attempt can run on when another owner renewed it until now: one lease, and
 * another one if that owner was paused with a renewal in hand, in milliseconds.
 */
export const FOREIGN_RENEWAL_EXPIRY_MS =
  WORKER_HEARTBEAT_TIMEOUT_MS + 2 * TASK_LEASE_MS + TASK_LEASE_MARGIN_MS;

/**
 * An attempt of a class that restarts runs no more when its partition's owner has taken no report of
 * it for this long, in milliseconds.
 */
export const SAFE_RESTART_DELAY_MS = REPORT_WINDOW_MS + FOREIGN_RENEWAL_EXPIRY_MS;
