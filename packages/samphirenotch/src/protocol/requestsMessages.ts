/**
 * Checks of the messages by which entries hand requests and idempotency keys to one another.
 */
import { z } from 'zod';

const MAXIMUM_HEADERS = 200;
const MAXIMUM_NAME = 256;
const MAXIMUM_VALUE = 16_384;

const NAME = z.string().min(1).max(MAXIMUM_NAME);

const HEADERS = z
  .array(z.object({ name: NAME, value: z.string().max(MAXIMUM_VALUE) }))
  .max(MAXIMUM_HEADERS);

const REMAINING_MS = z.number().finite().nonnegative();

/** Largest body of an answer that is kept for repetition, in bytes. */
export const KEPT_BODY_BYTES = 16_384;

/** Head of a forwarded request. */
export const REQUEST_HEAD = z.object({
  requestId: NAME,
  service: NAME,
  taskClass: NAME,
  tenant: NAME,
  method: z.string().regex(/^[A-Z]{1,20}$/),
  path: z.string().startsWith('/').max(MAXIMUM_VALUE),
  headers: HEADERS,
  idempotent: z.boolean(),
  remainingMs: REMAINING_MS,
});

/** Head of the answer to a forwarded request. */
export const ANSWER_HEAD = z.object({
  status: z.number().int().min(100).max(999),
  headers: HEADERS,
});

const KEPT_ANSWER = z.object({
  status: z.number().int().min(100).max(999),
  headers: HEADERS,
  body: z.instanceof(Uint8Array).refine(({ length }) => length <= KEPT_BODY_BYTES),
});

const PARTITION = z.number().int().nonnegative();

/** A claim of a key. */
export const CLAIM_KEY = z.object({
  partition: PARTITION,
  key: NAME,
  token: NAME,
  fingerprint: NAME,
  remainingMs: REMAINING_MS,
});

/** The answer to a claim. */
export const CLAIM_KEY_ANSWER = z.object({
  state: z.number().int().min(1).max(5),
  answer: KEPT_ANSWER.optional(),
});

/** What became of a claimed run. */
export const SETTLE_KEY = z.object({
  partition: PARTITION,
  key: NAME,
  token: NAME,
  outcome: z.number().int().min(1).max(3),
  answer: KEPT_ANSWER.optional(),
});
