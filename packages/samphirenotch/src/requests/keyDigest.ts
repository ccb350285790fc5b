/**
 * Names idempotency keys, and the partitions that decide on them.
 */
import { createHash } from 'node:crypto';
import type { ServiceRequest } from './serviceRequest.js';

/**
 * Number of key partitions. A key must find the same partition as long as it is remembered, so the
 * number does not follow the configuration.
 */
export const KEY_PARTITION_COUNT = 8;

const DIGEST_BYTES = 16;
const FINGERPRINT_BYTES = 6;

const digest = (parts: readonly string[], bytes: number): Buffer =>
  createHash('sha256').update(JSON.stringify(parts)).digest().subarray(0, bytes);

/** A key as the partitions know it. */
export interface NamedKey {
  readonly partition: number;
  readonly key: string;
  readonly fingerprint: string;
}

/**
 * Names the key of a request.
 *
 * @param request - the request
 * @param idempotencyKey - its key
 * @returns partition, digest and fingerprint
 */
export const nameKey = (request: ServiceRequest, idempotencyKey: string): NamedKey => {
  const bytes = digest([request.tenant, request.service, idempotencyKey], DIGEST_BYTES);
  const asked = digest([request.method, request.path, request.taskClass], FINGERPRINT_BYTES);
  return {
    partition: bytes.readUInt32BE(0) % KEY_PARTITION_COUNT,
    key: bytes.toString('base64url'),
    fingerprint: asked.toString('base64url'),
  };
};

/**
 * Names the resource whose owner decides on a partition. The data centre in it is where an owner is
 * preferred; the stored record is named by the partition alone.
 *
 * @param partition - number of the partition
 * @param dataCentres - names of the data centres
 * @returns the resource, or nothing without data centres
 */
export const keyResource = (
  partition: number,
  dataCentres: readonly string[],
): string | undefined => {
  const sorted = [...dataCentres].sort();
  const home = sorted[partition % sorted.length];
  return home === undefined ? undefined : `keys/${home}/${partition}`;
};
