/**
 * Bounds and times of task handling.
 */

/** Least time between two commits of one partition, in milliseconds. */
export const MINIMUM_COMMIT_INTERVAL_MS = 50;
/** Longest time between two commits of a partition while the store is at its ceiling. */
export const MAXIMUM_COMMIT_INTERVAL_MS = 1_000;
/** How long one call to the store may take, in milliseconds. */
export const STORE_TIMEOUT_MS = 2_000;
/** First wait after a failed call to the store, in milliseconds. */
export const INITIAL_STORE_BACKOFF_MS = 100;
/** Longest wait after failed calls to the store, in milliseconds. */
export const MAXIMUM_STORE_BACKOFF_MS = 2_000;
/** When a caller refused by a store outage may come back, in milliseconds. */
export const STORE_RETRY_AFTER_MS = 2_000;
/** Characters of job records that a head keeps before they are moved into chunks. */
export const MAXIMUM_JOURNAL_LENGTH = 64 * 1024;
/** Characters that a chunk may have. */
export const MAXIMUM_CHUNK_LENGTH = 128 * 1024;
/** Bytes of changes that one commit carries. */
export const MAXIMUM_BATCH_BYTES = 256 * 1024;
/** Bytes of the payload of a task. */
export const MAXIMUM_PAYLOAD_BYTES = 64 * 1024;
/** Characters of the result or reason kept with a job. */
export const MAXIMUM_DETAIL_LENGTH = 1_024;

/** Time between two looks at the queue without any news, in milliseconds. */
export const IDLE_ROUND_INTERVAL_MS = 250;
/** Least time between two looks at the queue, in milliseconds. */
export const MINIMUM_ROUND_INTERVAL_MS = 50;
/** The queue is ordered for one part in this many of the time, however long it is. */
export const ORDERING_PAUSE_FACTOR = 20;
/** Starts of one partition that are under way side by side. */
export const MAXIMUM_CONCURRENT_STARTS = 32;
/** Shards asked for room in one look at the queue for one job. */
export const MAXIMUM_SHARDS_PER_SEARCH = 16;
/** How long a shard without room for a class is not asked again, in milliseconds. */
export const NO_ROOM_RETRY_DELAY_MS = 400;
/** How long one call to the owner of a shard may take, in milliseconds. */
export const SHARD_TIMEOUT_MS = 3_000;
/** How long checkpoint and stop of an attempt may take, in milliseconds. */
export const STOP_TIMEOUT_MS = 15_000;
/** Wait between two questions about an attempt whose fate is unknown, in milliseconds. */
export const RESOLVE_BACKOFF_MS = 500;
/** First wait before a failed job is tried again, in milliseconds. */
export const INITIAL_RETRY_BACKOFF_MS = 500;
/** Longest wait before a failed job is tried again, in milliseconds. */
export const MAXIMUM_RETRY_BACKOFF_MS = 60_000;
/** A watcher that ran this long before it failed counts as working, in milliseconds. */
export const MINIMUM_STABLE_RUN_MS = 60_000;
/** Workers that a job remembers having failed at. */
export const MAXIMUM_EXCLUDED_WORKERS = 8;
/** Stops of one partition that are under way side by side. */
export const MAXIMUM_CONCURRENT_STOPS = 32;
/** An attempt that nobody reported for this long is asked after, in milliseconds. */
export const MAXIMUM_ATTEMPT_SILENCE_MS = 20_000;
/** Attempts asked after in one round. */
export const MAXIMUM_AUDITS_PER_ROUND = 32;

/** How long an ended job is kept, in milliseconds; so long its idempotency key is known. */
export const RETENTION_MS = 24 * 60 * 60 * 1_000;
/** Ended jobs kept by a partition. */
export const MAXIMUM_ENDED_JOBS = 8_000;
/** Jobs of every state that a partition holds. */
export const MAXIMUM_JOBS = 20_000;
/** Time between two searches for ended jobs to drop, in milliseconds. */
export const SWEEP_INTERVAL_MS = 10_000;
/** Jobs dropped in one sweep. */
export const MAXIMUM_DROPS_PER_SWEEP = 500;
/** How long a partition that is handed over may take to finish what it has begun, in milliseconds. */
export const RELEASE_TIMEOUT_MS = 5_000;
/** An outage of the store after which starts are spread out, in milliseconds. */
export const MINIMUM_PACED_OUTAGE_MS = 5_000;
/** Time in which every entry that may start tasks has the same configuration, in milliseconds. */
export const POLICY_SETTLING_MS = 10_000;
