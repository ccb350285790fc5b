/**
 * Records of accepted configurations as the store keeps them.
 */
import { z } from 'zod';
import { DIGEST } from './content.js';

/** Key of the record that makes a configuration accepted. */
export const ROOT_KEY = 'config/root';

const PARTS_PREFIX = 'config/parts/';
const VERSIONS_PREFIX = 'config/versions/';

/** One accepted configuration: what, by whom and why. */
export interface AcceptedRecord {
  readonly version: number;
  /** Digest of the manifest. */
  readonly digest: string;
  readonly publishedBy: string;
  readonly why: string;
  /** When it was published, by the publisher's wall clock, in milliseconds since the epoch. */
  readonly atMs: number;
  /** Chosen by the publisher, so that it knows its own write again. */
  readonly writeId: string;
}

const RECORD = z.object({
  version: z.number().int().positive(),
  digest: DIGEST,
  publishedBy: z.string(),
  why: z.string(),
  atMs: z.number(),
  writeId: z.string(),
});

/**
 * Finds where a part is stored.
 *
 * @param digest - digest of the part
 * @returns the key
 */
export const partKey = (digest: string): string => `${PARTS_PREFIX}${digest}`;

/**
 * Finds where the record of a version is kept once a newer one is about to replace it.
 *
 * @param version - the version
 * @returns the key
 */
export const versionKey = (version: number): string => `${VERSIONS_PREFIX}${version}`;

/**
 * Reads a record.
 *
 * @param text - the stored value
 * @returns the record, or nothing if the value is none
 */
export const readRecord = (text: string): AcceptedRecord | undefined => {
  try {
    return RECORD.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
};

/**
 * Writes a record.
 *
 * @param record - the record
 * @returns the value to store
 */
export const writeRecord = (record: AcceptedRecord): string => JSON.stringify(record);
