/**
 * Format in which the jobs of a partition are stored: a head with the latest changes, and immutable
 * chunks with the other jobs. A compare-and-swap of the head makes a batch of changes durable.
 */
import { z } from 'zod';
import { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import type { Job } from './job.js';

const FORMAT_VERSION = 1;

const SIZE = z.object({
  milliCores: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

const ATTEMPT = z.object({
  id: z.string(),
  number: z.number(),
  shard: z.string(),
  workerId: z.string(),
  epoch: z.number(),
  size: SIZE,
  intendedAtMs: z.number(),
  restarts: z.boolean(),
  resumed: z.boolean(),
});

const JOB = z.object({
  id: z.string(),
  partition: z.string(),
  taskClass: z.string(),
  tenant: z.string(),
  payload: z.string(),
  digest: z.string(),
  submittedAtMs: z.number(),
  state: z.enum([
    'queued',
    'starting',
    'running',
    'evicting',
    'completed',
    'failed',
    'cancelled',
    'held',
  ]),
  stateSinceMs: z.number(),
  attempt: ATTEMPT.optional(),
  attempts: z.number(),
  failedAttempts: z.number(),
  evictions: z.number(),
  checkpoint: z.string().optional(),
  notBeforeMs: z.number(),
  excludedWorkers: z.array(z.string()),
  cancelRequested: z.boolean(),
  detail: z.string().optional(),
  limit: z.string().optional(),
});

const HEAD = z.object({
  format: z.literal(FORMAT_VERSION),
  writeId: z.string(),
  owner: z.string(),
  epoch: z.number(),
  chunks: z.array(z.string()),
  removed: z.array(z.string()),
  jobs: z.array(JOB),
});

const CHUNK = z.object({ jobs: z.array(JOB) });

/** Contents of the head of a partition. */
export interface PartitionHead {
  /** Unique id of this write of the head. */
  readonly writeId: string;
  /** Id of the entry that wrote it. */
  readonly owner: string;
  /** Epoch of the ownership under which it was written. */
  readonly epoch: number;
  /** Names of the valid chunks, oldest first. */
  readonly chunks: readonly string[];
  /** Ids of removed jobs of which a chunk may still hold a record. */
  readonly removed: readonly string[];
  /** Jobs whose latest record is not in a chunk. */
  readonly jobs: readonly Job[];
}

/** A head whose jobs are already encoded. */
export interface EncodedHead extends Omit<PartitionHead, 'jobs'> {
  readonly jobs: readonly string[];
}

/**
 * Gets the prefix of all store keys of a partition.
 *
 * @param partition - resource name
 * @returns the prefix
 */
export const keyPrefixOf = (partition: string): string => `tasks/${partition}/`;

/**
 * Gets the store key of a partition's head.
 *
 * @param partition - resource name
 * @returns the key
 */
export const headKey = (partition: string): string => `${keyPrefixOf(partition)}head`;

/**
 * Gets the store key of a chunk.
 *
 * @param partition - resource name
 * @param name - name of the chunk
 * @returns the key
 */
export const chunkKey = (partition: string, name: string): string =>
  `${keyPrefixOf(partition)}chunk/${name}`;

/**
 * Encodes a job.
 *
 * @param job - the job
 * @returns the job as JSON
 */
export const encodeJob = (job: Job): string => JSON.stringify(job);

/**
 * Encodes a head.
 *
 * @param head - the head, with encoded jobs
 * @returns the head as JSON
 */
export const encodeHead = (head: EncodedHead): string => {
  const { jobs, ...rest } = head;
  const start = JSON.stringify({ format: FORMAT_VERSION, ...rest });
  return `${start.slice(0, -1)},"jobs":[${jobs.join(',')}]}`;
};

/**
 * Encodes a chunk.
 *
 * @param jobs - encoded jobs
 * @returns the chunk as JSON
 */
export const encodeChunk = (jobs: readonly string[]): string => `{"jobs":[${jobs.join(',')}]}`;

const parse = <T>(schema: z.ZodType<T>, text: string, key: string): Result<T, Failure> => {
  try {
    return Ok(schema.parse(JSON.parse(text)));
  } catch (error) {
    return Err(
      new Failure({
        code: 'internal',
        step: 'tasks.decode',
        peer: key,
        effect: 'not-run',
        message: error instanceof Error ? error.message : String(error),
      }),
    );
  }
};

/**
 * Decodes a head.
 *
 * @param text - the stored value
 * @param key - store key, named in the failure
 * @returns the head, or a failure if the value is invalid
 */
export const decodeHead = (text: string, key: string): Result<PartitionHead, Failure> =>
  parse<PartitionHead>(HEAD as unknown as z.ZodType<PartitionHead>, text, key);

/**
 * Decodes a chunk.
 *
 * @param text - the stored value
 * @param key - store key, named in the failure
 * @returns its jobs, or a failure if the value is invalid
 */
export const decodeChunk = (text: string, key: string): Result<readonly Job[], Failure> =>
  parse<{ jobs: Job[] }>(CHUNK as unknown as z.ZodType<{ jobs: Job[] }>, text, key).map(
    (chunk) => chunk.jobs,
  );
