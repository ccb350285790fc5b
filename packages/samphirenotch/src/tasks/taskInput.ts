/**
 * Validates the HTTP input of callers about tasks.
 */
import type { IncomingMessage } from 'node:http';
import { z } from 'zod';
import { Failure } from '../failure.js';
import { decodeName } from '../http/headerName.js';
import { STATE } from '../protocol/tasksMessages.js';
import { Err, Ok, type Result } from '../results.js';
import { MAXIMUM_PAYLOAD_BYTES } from './taskSettings.js';

const STEP = 'tasks.input';
const MAXIMUM_NAME_LENGTH = 256;
/** Allowance for the body apart from the payload. */
const ENVELOPE_BYTES = 4 * 1024;
/** Bytes of JSON that one escaped character takes at most. */
const MAXIMUM_ESCAPE_FACTOR = 6;
const MAXIMUM_BODY_BYTES = MAXIMUM_PAYLOAD_BYTES * MAXIMUM_ESCAPE_FACTOR + ENVELOPE_BYTES;
const DEFAULT_PAGE_SIZE = 100;
const MAXIMUM_PAGE_SIZE = 500;

const NAME = z.string().min(1).max(MAXIMUM_NAME_LENGTH);

const payloadText = (value: unknown): string =>
  typeof value === 'string' ? value : JSON.stringify(value ?? null);

const SUBMISSION = z.strictObject({
  taskClass: NAME,
  payload: z
    .unknown()
    .transform(payloadText)
    .refine((text) => Buffer.byteLength(text) <= MAXIMUM_PAYLOAD_BYTES, {
      message: `payload is longer than ${MAXIMUM_PAYLOAD_BYTES} bytes`,
    }),
});

const HEADERS = z.object({
  tenant: NAME.regex(/^[\x21-\x7e]+$/).transform(decodeName),
  'idempotency-key': NAME.optional(),
});

const CURSOR = z.object({ partition: NAME, afterId: z.string().max(MAXIMUM_NAME_LENGTH) });

const LISTING = z.strictObject({
  limit: z.coerce.number().int().min(1).max(MAXIMUM_PAGE_SIZE).default(DEFAULT_PAGE_SIZE),
  cursor: z
    .string()
    .max(MAXIMUM_NAME_LENGTH * 4)
    .optional(),
  tenant: NAME.optional(),
  taskClass: NAME.optional(),
  state: STATE.optional(),
});

/** A validated submission of a caller. */
export interface SubmissionInput {
  readonly taskClass: string;
  readonly payload: string;
  readonly tenant: string;
  readonly idempotencyKey?: string | undefined;
}

/** Position at which a page begins. */
export type Cursor = z.infer<typeof CURSOR>;

/** A validated query for a page of tasks. */
export interface ListingInput {
  readonly limit: number;
  readonly cursor?: Cursor | undefined;
  readonly tenant?: string | undefined;
  readonly taskClass?: string | undefined;
  readonly state?: z.infer<typeof STATE> | undefined;
}

const invalid = (message: string): Failure =>
  new Failure({ code: 'invalid', step: STEP, peer: 'caller', effect: 'not-run', message });

const check = <S extends z.ZodType>(schema: S, value: unknown): Result<z.infer<S>, Failure> => {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  const issues = parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
  return Err(invalid(issues.join('; ')));
};

const readBody = async (request: IncomingMessage): Promise<Result<string, Failure>> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request) {
      bytes += (chunk as Buffer).length;
      if (bytes > MAXIMUM_BODY_BYTES)
        return Err(invalid(`the body is longer than ${MAXIMUM_BODY_BYTES} bytes`));
      chunks.push(chunk as Buffer);
    }
  } catch {
    return Err(invalid('the body broke off'));
  }
  return Ok(Buffer.concat(chunks).toString('utf8'));
};

const parseJson = (text: string): Result<unknown, Failure> => {
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    return Err(invalid('the body is no JSON'));
  }
};

/**
 * Reads and validates a submission.
 *
 * @param request - the request of the caller
 * @returns the submission, or a failure that says what is invalid
 */
export const readSubmission = async (
  request: IncomingMessage,
): Promise<Result<SubmissionInput, Failure>> => {
  const headers = check(HEADERS, request.headers);
  if (headers.err) return headers;
  const text = await readBody(request);
  if (text.err) return text;
  const json = parseJson(text.val);
  if (json.err) return json;
  const body = check(SUBMISSION, json.val);
  if (body.err) return body;
  const { tenant, 'idempotency-key': idempotencyKey } = headers.val;
  return Ok({ ...body.val, tenant, idempotencyKey });
};

/**
 * Encodes the position at which the next page begins.
 *
 * @param cursor - the position
 * @returns opaque text for the caller
 */
export const encodeCursor = (cursor: Cursor): string =>
  Buffer.from(JSON.stringify(cursor)).toString('base64url');

const decodeCursor = (text: string): Result<Cursor, Failure> => {
  const json = parseJson(Buffer.from(text, 'base64url').toString('utf8'));
  if (json.err) return Err(invalid('cursor: not one that this service gave out'));
  return check(CURSOR, json.val);
};

/**
 * Reads and validates the query for a page of tasks.
 *
 * @param parameters - query parameters of the URL
 * @returns the query, or a failure that says what is invalid
 */
export const readListing = (parameters: URLSearchParams): Result<ListingInput, Failure> => {
  const listing = check(LISTING, Object.fromEntries(parameters));
  if (listing.err) return listing;
  const { cursor: text, ...rest } = listing.val;
  if (text === undefined) return Ok(rest);
  return decodeCursor(text).map((cursor) => ({ ...rest, cursor }));
};
