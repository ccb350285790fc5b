/**
 * Limits and time constants of task handling.
 */

/** Minimum time between two commits of one partition, in milliseconds. */
export const MINIMUM_COMMIT_INTERVAL_MS = 50;
/**
 * Maximum time between two commits of one partition while the store is at its throughput limit, in
 * milliseconds.
 */
export const MAXIMUM_COMMIT_INTERVAL_MS = 1_000;
/** Timeout of one call to the store, in milliseconds. */
export const STORE_TIMEOUT_MS = 2_000;
/** Base of the exponential backoff after failed calls to the store, in milliseconds. */
export const STORE_BACKOFF_BASE_MS = 100;
/** Maximum backoff after failed calls to the store, in milliseconds. */
export const MAXIMUM_STORE_BACKOFF_MS = 2_000;
/** Retry-after time given to callers who are refused in a store outage, in milliseconds. */
export const STORE_RETRY_AFTER_MS = 2_000;
/** Maximum length of the job records in a head before they are moved into chunks, in characters. */
export const MAXIMUM_JOURNAL_LENGTH = 64 * 1024;
/** Maximum length of a chunk, in characters. */
export const MAXIMUM_CHUNK_LENGTH = 128 * 1024;
/** Maximum size of the changes in one commit, in bytes. */
export const MAXIMUM_BATCH_BYTES = 256 * 1024;
/** Maximum size of the payload of a task, in bytes. */
export const MAXIMUM_PAYLOAD_BYTES = 64 * 1024;
/** Maximum length of the result or failure reason stored with a job, in characters. */
export const MAXIMUM_DETAIL_LENGTH = 1_024;

/** Time between two scheduling rounds if nothing requests an earlier one, in milliseconds. */
export const IDLE_ROUND_INTERVAL_MS = 250;
/** Minimum time between two scheduling rounds, in milliseconds. */
export const MINIMUM_ROUND_INTERVAL_MS = 50;
/**
 * After a round the scheduler pauses for at least this many times as long as it took to order the
 * queue, so that ordering a long queue takes at most about 1 in 20 of the time.
 */
export const ORDERING_PAUSE_FACTOR = 20;
/** Maximum number of concurrent starts of one partition. */
export const MAXIMUM_CONCURRENT_STARTS = 32;
/** Maximum number of shards that are asked for room for one job in one search. */
export const MAXIMUM_SHARDS_PER_SEARCH = 16;
/** Time for which a shard without room for a class is not asked again, in milliseconds. */
export const NO_ROOM_RETRY_DELAY_MS = 400;
/** Timeout of one call to the owner of a shard, in milliseconds. */
export const SHARD_TIMEOUT_MS = 3_000;
/** Timeout of checkpointing and stopping an attempt, in milliseconds. */
export const STOP_TIMEOUT_MS = 15_000;
/** Backoff between two queries about an attempt whose outcome is unknown, in milliseconds. */
export const RESOLVE_BACKOFF_MS = 500;
/**
 * Base of the exponential backoff before a failed job is retried, in milliseconds; each failure,
 * including the first, doubles it.
 */
export const RETRY_BACKOFF_BASE_MS = 500;
/** Maximum backoff before a failed job is retried, in milliseconds. */
export const MAXIMUM_RETRY_BACKOFF_MS = 60_000;
/**
 * Running time after which a watcher counts as stable, so that its next failure is counted as the
 * first one again, in milliseconds.
 */
export const MINIMUM_STABLE_RUN_MS = 60_000;
/** Maximum number of workers that a job avoids after they failed it or did not start it. */
export const MAXIMUM_EXCLUDED_WORKERS = 8;
/** Maximum number of concurrent stops of one partition. */
export const MAXIMUM_CONCURRENT_STOPS = 32;
/** Time without a report after which the state of an attempt is queried, in milliseconds. */
export const MAXIMUM_ATTEMPT_SILENCE_MS = 20_000;
/** Maximum number of attempts whose state is queried in one round. */
export const MAXIMUM_AUDITS_PER_ROUND = 32;

/** Time for which an ended job and its idempotency key are kept, in milliseconds. */
export const RETENTION_MS = 24 * 60 * 60 * 1_000;
/** Maximum number of ended jobs in a partition; jobs with an idempotency key may exceed it. */
export const MAXIMUM_ENDED_JOBS = 8_000;
/** Maximum number of jobs in a partition, of all states. */
export const MAXIMUM_JOBS = 20_000;
/** Time between two sweeps for ended jobs to drop, in milliseconds. */
export const SWEEP_INTERVAL_MS = 10_000;
/** Maximum number of jobs dropped in one sweep. */
export const MAXIMUM_DROPS_PER_SWEEP = 500;
/**
 * Timeout for finishing pending starts and commits when a partition is handed over, in
 * milliseconds.
 */
export const RELEASE_TIMEOUT_MS = 5_000;
/** Minimum length of a store outage after which starts are paced, in milliseconds. */
export const MINIMUM_PACED_OUTAGE_MS = 5_000;
/**
 * Time within which a new configuration reaches every entry that may start tasks, in milliseconds.
 */
export const POLICY_SETTLING_MS = 10_000;
