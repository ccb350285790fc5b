/**
 * Names of partitions, jobs and attempts. The id of a job contains its partition, so that any entry
 * finds the owner without a lookup.
 */
import { createHash } from 'node:crypto';
import type { ConfigurationSet } from '../config/objects.js';

const SEPARATOR = '~';
const DIGEST_LENGTH = 32;
const JOB_ID = /^([A-Za-z0-9_-]+)~(\d{1,5})~[A-Za-z0-9]{1,64}$/;

/** Kind of the resources that own jobs; first part of their names. */
export const PARTITION_KIND = 'partition';

/**
 * Computes a short digest.
 *
 * @param parts - texts to digest; the boundaries between them count
 * @returns hexadecimal digits
 */
export const digestOf = (...parts: readonly string[]): string =>
  createHash('sha256').update(JSON.stringify(parts)).digest('hex').slice(0, DIGEST_LENGTH);

/**
 * Makes the resource name of a partition.
 *
 * @param dataCentre - home data centre
 * @param index - number within the data centre, from 0
 * @returns the resource name
 */
export const partitionName = (dataCentre: string, index: number): string =>
  `${PARTITION_KIND}/${dataCentre}/${index}`;

/**
 * Lists the partitions of a configuration.
 *
 * @param set - the configuration
 * @param dataCentres - home data centres whose partitions are listed; all if omitted
 * @returns resource names, in order
 */
export const partitionsOf = (
  set: ConfigurationSet,
  dataCentres: readonly string[] = [...set.dataCentres.keys()],
): readonly string[] =>
  dataCentres.flatMap((name) => {
    const count = set.dataCentres.get(name)?.partitions ?? 0;
    return Array.from({ length: count }, (_, index) => partitionName(name, index));
  });

/**
 * Extracts the data centre from the name of a shard or partition.
 *
 * @param resource - the resource name
 * @returns name of the data centre
 */
export const dataCentreOf = (resource: string): string => resource.split('/')[1] ?? '';

/**
 * Makes the id of a job.
 *
 * @param partition - resource name of the partition that owns the job
 * @param unique - letters and digits, unique within the partition
 * @returns the id
 */
export const makeJobId = (partition: string, unique: string): string => {
  const [, dataCentre, index] = partition.split('/');
  return [dataCentre, index, unique].join(SEPARATOR);
};

/**
 * Extracts the partition from the id of a job.
 *
 * @param jobId - id of the job
 * @returns the resource name, or nothing if the id is not valid
 */
export const partitionOfJob = (jobId: string): string | undefined => {
  const match = JOB_ID.exec(jobId);
  if (!match) return undefined;
  return partitionName(match[1] ?? '', Number(match[2]));
};

/**
 * Chooses a partition by rendezvous hashing, so that few keys move when partitions are added or
 * removed.
 *
 * @param partitions - partitions to choose from
 * @param key - the key to place
 * @returns the partition, or nothing if there is none
 */
export const choosePartition = (partitions: readonly string[], key: string): string | undefined => {
  const ranked = partitions.map((partition) => ({ partition, rank: digestOf(partition, key) }));
  ranked.sort((left, right) => (left.rank < right.rank ? -1 : 1));
  return ranked[0]?.partition;
};

/**
 * Makes the id of an attempt.
 *
 * @param jobId - id of the job
 * @param epoch - epoch of the partition's owner
 * @param number - number of the attempt, from 1
 * @returns the id
 */
export const makeAttemptId = (jobId: string, epoch: number, number: number): string =>
  `${jobId}.${epoch}.${number}`;

/**
 * Extracts the epoch of the partition's owner that made an attempt.
 *
 * @param attemptId - id of the attempt
 * @returns the epoch, 0 if the id contains none
 */
export const epochOfAttempt = (attemptId: string): number => Number(attemptId.split('.')[1] ?? 0);

/**
 * Extracts the job that an attempt belongs to.
 *
 * @param attemptId - id of the attempt
 * @returns id of the job
 */
export const jobOfAttempt = (attemptId: string): string => attemptId.split('.')[0] ?? '';

const KEYED_PREFIX = 'k';
const KEYLESS_PREFIX = 'n';

/**
 * Makes the unique part of the id of a job that is submitted with an idempotency key.
 *
 * @param tenant - tenant that uses the key
 * @param key - the key
 * @returns letters and digits, the same for the same key
 */
export const uniquePartOfKey = (tenant: string, key: string): string =>
  `${KEYED_PREFIX}${digestOf(tenant, key)}`;

/**
 * Makes the unique part of the id of a job that is submitted without an idempotency key.
 *
 * @param random - a value that no other job has
 * @returns letters and digits
 */
export const uniquePartWithoutKey = (random: string): string => `${KEYLESS_PREFIX}${random}`;

/**
 * Checks whether a job was submitted with an idempotency key.
 *
 * @param jobId - id of the job
 * @returns true if it was
 */
export const hasIdempotencyKey = (jobId: string): boolean =>
  jobId.split(SEPARATOR)[2]?.startsWith(KEYED_PREFIX) ?? false;
