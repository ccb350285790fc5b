/**
 * Bodies that operators send to the configuration resource.
 */
import { z } from 'zod';
import { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import type { ConfigurationFiles } from './draft.js';

const MOST_FILES = 10_000;
const LONGEST_TEXT = 10_000;

const TEXT = z.string().trim().min(1).max(LONGEST_TEXT);
const FILES = z
  .array(z.object({ name: z.string().min(1), text: z.string() }))
  .max(MOST_FILES)
  .refine((files) => new Set(files.map(({ name }) => name)).size === files.length, {
    message: 'a file is there twice',
  })
  .transform((files): ConfigurationFiles => new Map(files.map(({ name, text }) => [name, text])));

const PUBLICATION = { publishedBy: TEXT, why: TEXT };
const VERSION = z.number().int().min(0);

/** Files to check or to compare. */
export const FILES_BODY = z.object({ files: FILES });

/** Files to publish. */
export const PUBLISH_BODY = z.object({
  files: FILES,
  baseVersion: VERSION.optional(),
  ...PUBLICATION,
});

/** A version to publish again. */
export const RESTORE_BODY = z.object({ version: VERSION, ...PUBLICATION });

/** A data centre to take out or to bring back. */
export const OUTAGE_BODY = z.object({
  dataCentre: z.string().min(1),
  change: z.enum(['start', 'end']),
  ...PUBLICATION,
});

/**
 * Checks a body.
 *
 * @param form - its form
 * @param body - the parsed JSON
 * @returns the body, or what is wrong with it
 */
export const checkBody = <T>(form: z.ZodType<T>, body: unknown): Result<T, Failure> => {
  const checked = form.safeParse(body);
  if (checked.success) return Ok(checked.data);
  const message = checked.error.issues
    .map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ');
  return Err(
    new Failure({
      code: 'invalid',
      step: 'configuration.http',
      peer: 'caller',
      effect: 'not-run',
      message,
    }),
  );
};
