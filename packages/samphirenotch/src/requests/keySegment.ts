/**
 * The stored form of claims: a partition is a row of segments, and only the last one is written.
 */
import { z } from 'zod';
import type { KeyOutcome } from './keyAuthority.js';

/** A claim or the end of a claimed run, as stored. */
export type KeyRecord =
  | {
      readonly kind: 'claim';
      readonly key: string;
      readonly token: string;
      readonly fingerprint: string;
      /** Wall-clock time of the claim, in milliseconds since the Unix epoch. */
      readonly atMs: number;
    }
  | {
      readonly kind: 'end';
      readonly key: string;
      readonly token: string;
      readonly outcome: KeyOutcome;
    };

/** A segment as stored. */
export interface KeySegment {
  /** The owner that wrote it, one id for each time of ownership. */
  readonly writer: string;
  /** Rises with each write of that owner. */
  readonly write: number;
  /** No more is written to it; the next one exists or will. */
  readonly sealed: boolean;
  readonly records: readonly KeyRecord[];
}

const RECORD = z.union([
  z.tuple([z.literal('c'), z.string(), z.string(), z.string(), z.number()]),
  z.tuple([z.literal('e'), z.string(), z.string(), z.enum(['answered', 'not-run', 'unknown'])]),
]);

const SEGMENT = z.object({
  writer: z.string(),
  write: z.number(),
  sealed: z.boolean(),
  records: z.array(RECORD),
});

const PREFIX = 'samphirenotch/keys';
const NUMBER_DIGITS = 10;

/**
 * Names the stored segments of a partition.
 *
 * @param partition - number of the partition
 * @returns prefix of their keys
 */
export const segmentPrefix = (partition: number): string => `${PREFIX}/${partition}/`;

/**
 * Names a stored segment.
 *
 * @param partition - number of the partition
 * @param segment - number of the segment
 * @returns its key
 */
export const segmentKey = (partition: number, segment: number): string =>
  `${segmentPrefix(partition)}${String(segment).padStart(NUMBER_DIGITS, '0')}`;

/**
 * Reads the number of a segment from its key.
 *
 * @param key - key of a segment
 * @returns the number
 */
export const segmentNumber = (key: string): number => Number(key.slice(key.lastIndexOf('/') + 1));

const toTuple = (record: KeyRecord): z.infer<typeof RECORD> => {
  if (record.kind === 'end') return ['e', record.key, record.token, record.outcome];
  return ['c', record.key, record.token, record.fingerprint, record.atMs];
};

const fromTuple = (tuple: z.infer<typeof RECORD>): KeyRecord => {
  if (tuple[0] === 'e') {
    return { kind: 'end', key: tuple[1], token: tuple[2], outcome: tuple[3] };
  }
  const [, key, token, fingerprint, atMs] = tuple;
  return { kind: 'claim', key, token, fingerprint, atMs };
};

/**
 * Writes a segment down.
 *
 * @param segment - the segment
 * @returns the value to store
 */
export const encodeSegment = (segment: KeySegment): string =>
  JSON.stringify({ ...segment, records: segment.records.map(toTuple) });

/**
 * Reads a segment.
 *
 * @param value - the stored value
 * @returns the segment; throws if the value is not one
 */
export const decodeSegment = (value: string): KeySegment => {
  const { records, ...rest } = SEGMENT.parse(JSON.parse(value));
  return { ...rest, records: records.map(fromTuple) };
};
