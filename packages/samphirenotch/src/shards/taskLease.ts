/**
 * Durations of the leases under which attempts run at workers, and of the delays derived from them.
 */

/** Lease duration of renewals, and the maximum lease duration of starts, in milliseconds. */
export const TASK_LEASE_MS = 12_000;

/** Safety margin for clock drift and for messages in transit, in milliseconds. */
export const TASK_LEASE_MARGIN_MS = 2000;

/** Pause between heartbeats to one worker, in milliseconds. */
export const WORKER_HEARTBEAT_INTERVAL_MS = 1000;

/** Timeout of a heartbeat to a worker, in milliseconds. */
export const WORKER_HEARTBEAT_TIMEOUT_MS = 1000;

/** Timeout of a start, in milliseconds. */
export const START_TIMEOUT_MS = 1000;

/** Starts are sent only if the configuration was confirmed within this time, in milliseconds. */
export const MAXIMUM_START_CONFIGURATION_AGE_MS = 3000;

/**
 * Attempts of classes that restart elsewhere during a network partition are renewed for this long
 * after their job's owner last accepted a report, counted from when the report was sent, in
 * milliseconds.
 */
export const REPORT_WINDOW_MS = 4000;

/**
 * Maximum time that an attempt runs on after the end of this owner's call that last renewed it, in
 * milliseconds.
 */
export const OWN_RENEWAL_EXPIRY_MS = TASK_LEASE_MS + TASK_LEASE_MARGIN_MS;

/**
 * Maximum time that an attempt can run on if another owner may have renewed it until now, in
 * milliseconds: one lease, and a second one if that owner was paused just before it sent a renewal.
 */
export const FOREIGN_RENEWAL_EXPIRY_MS =
  WORKER_HEARTBEAT_TIMEOUT_MS + 2 * TASK_LEASE_MS + TASK_LEASE_MARGIN_MS;

/**
 * An attempt of a class that restarts elsewhere no longer runs when its job's owner has accepted no
 * report about it for this long, in milliseconds.
 */
export const SAFE_RESTART_DELAY_MS = REPORT_WINDOW_MS + FOREIGN_RENEWAL_EXPIRY_MS;
