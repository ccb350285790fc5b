/**
 * How the jobs of a partition are kept in the platform's store: a head with the latest changes, and
 * chunks that are written once and never changed. A swap of the head makes a set of changes durable.
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

/** What a head says. */
export interface PartitionHead {
  /** Unique for each write of a head. */
  readonly writeId: string;
  /** Entry that wrote it. */
  readonly owner: string;
  /** Epoch of that entry's grant. */
  readonly epoch: number;
  /** Names of the chunks that count. */
  readonly chunks: readonly string[];
  /** Jobs that are in a chunk but exist no more. */
  readonly removed: readonly string[];
  /** Jobs newer than in any chunk. */
  readonly jobs: readonly Job[];
}

/** The parts of a head with its jobs encoded already. */
export interface EncodedHead extends Omit<PartitionHead, 'jobs'> {
  readonly jobs: readonly string[];
}

/**
 * Finds the prefix of all keys of a partition.
 *
 * @param partition - resource name
 * @returns the prefix
 */
export const keyPrefixOf = (partition: string): string => `tasks/${partition}/`;

/**
 * Finds the key of a partition's head.
 *
 * @param partition - resource name
 * @returns the key
 */
export const headKey = (partition: string): string => `${keyPrefixOf(partition)}head`;

/**
 * Finds the key of a chunk.
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
 * @returns its text
 */
export const encodeJob = (job: Job): string => JSON.stringify(job);

/**
 * Encodes a head.
 *
 * @param head - the head, with encoded jobs
 * @returns its text
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
 * @returns its text
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
 * @param text - text of the head
 * @param key - where it was stored, for the failure
 * @returns the head
 */
export const decodeHead = (text: string, key: string): Result<PartitionHead, Failure> =>
  parse<PartitionHead>(HEAD as unknown as z.ZodType<PartitionHead>, text, key);

/**
 * Decodes a chunk.
 *
 * @param text - text of the chunk
 * @param key - where it was stored, for the failure
 * @returns its jobs
 */
export const decodeChunk = (text: string, key: string): Result<readonly Job[], Failure> =>
  parse<{ jobs: Job[] }>(CHUNK as unknown as z.ZodType<{ jobs: Job[] }>, text, key).map(
    (chunk) => chunk.jobs,
  );
