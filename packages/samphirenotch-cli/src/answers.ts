/**
 * Forms of the answers that the command line reads.
 */
import { Err, Ok, type Result } from 'samphirenotch/results.js';
import { z } from 'zod';
import { problem, type CliProblem } from './cliProblem.js';
import { EXIT_CODES } from './exitCode.js';

const RECORD = z.object({
  version: z.number(),
  digest: z.string(),
  publishedBy: z.string(),
  why: z.string(),
  atMs: z.number(),
});

/** A record of an accepted version. */
export type VersionRecord = z.infer<typeof RECORD>;

/** What became of a publish. */
export const PUBLISHED = z.object({ record: RECORD, isNew: z.boolean() });

/** A configuration with its files. */
export const SHOWN = z.object({
  record: RECORD.optional(),
  files: z.array(z.object({ name: z.string(), text: z.string() })),
  inForce: z
    .object({
      version: z.number(),
      digest: z.string(),
      confirmedAgeMs: z.number().nullable(),
    })
    .optional(),
});

/** Versions, newest first. */
export const VERSIONS = z.object({ records: z.array(RECORD) });

/** Objects that differ. */
export const CHANGES = z.object({
  changed: z.array(z.object({ object: z.string(), change: z.string(), keys: z.array(z.string()) })),
});

/** What a check found. */
export const CHECKED = z.object({
  knowsWorkers: z.boolean(),
  problems: z.array(
    z.object({
      file: z.string(),
      line: z.number().optional(),
      section: z.string().optional(),
      key: z.string().optional(),
      message: z.string(),
      accepted: z.string(),
    }),
  ),
});

/** Any object. */
export const ANY_OBJECT = z.record(z.string(), z.unknown());

/** A page of tasks. */
export const TASK_PAGE = z.looseObject({ tasks: z.array(ANY_OBJECT) });

/** Which version is in force at an entry. */
export const STATUS = z.looseObject({ configuration: z.looseObject({ version: z.number() }) });

/** Histograms of an entry. */
export const HISTOGRAMS = z.object({
  series: z.array(
    z.object({
      step: z.enum(['admission', 'queue', 'forward', 'worker', 'total', 'start', 'loop', 'pass']),
      taskClass: z.string().optional(),
      tenant: z.string().optional(),
      dataCentre: z.string(),
      encoded: z.string(),
    }),
  ),
});

/**
 * Reads an answer.
 *
 * @param form - its form
 * @param answer - what the entry answered
 * @returns the answer, or that it is not what this program knows
 */
export const readAnswer = <T>(
  form: z.ZodType<T>,
  answer: Result<unknown, CliProblem>,
): Result<T, CliProblem> => {
  if (!answer.ok) return answer;
  const read = form.safeParse(answer.val);
  if (read.success) return Ok(read.data);
  const line = 'The answer is not of a form that this program knows; it may be of another version.';
  return Err(problem(EXIT_CODES.refused, line));
};
