/**
 * What the command line tells a user when something went wrong.
 */
import { z } from 'zod';
import { describeProblem } from 'samphirenotch/config/configurationProblem.js';
import { EXIT_CODES, type ExitCode } from './exitCode.js';

/** A problem, ready to be printed. */
export interface CliProblem {
  readonly exitCode: ExitCode;
  readonly lines: readonly string[];
}

const CONFIGURATION_PROBLEM = z.object({
  file: z.string(),
  line: z.number().optional(),
  section: z.string().optional(),
  key: z.string().optional(),
  message: z.string(),
  accepted: z.string(),
});

const CHANGED_OBJECT = z.object({
  object: z.string(),
  change: z.string(),
  keys: z.array(z.string()),
});

const BODY = z.object({
  title: z.string().optional(),
  detail: z.string().optional(),
  outcome: z.enum(['not-run', 'unknown']).optional(),
  step: z.string().optional(),
  peer: z.string().optional(),
  retryAfterMs: z.number().optional(),
  problems: z.array(CONFIGURATION_PROBLEM).optional(),
  changed: z.array(CHANGED_OBJECT).optional(),
});

type Body = z.infer<typeof BODY>;
type Changed = z.infer<typeof CHANGED_OBJECT>;

const MS_PER_SECOND = 1_000;
const CONFLICT = 409;
const FIRST_SERVER_ERROR = 500;

/** A server error that does not say what became of a change, as of a balancer, leaves it open. */
const isUnknown = (method: string, status: number, { outcome }: Body): boolean =>
  outcome === 'unknown' ||
  (outcome === undefined && method !== 'GET' && status >= FIRST_SERVER_ERROR);

const exitCodeOf = (method: string, status: number, body: Body): ExitCode => {
  if (status === CONFLICT) return EXIT_CODES.conflict;
  if (isUnknown(method, status, body)) return EXIT_CODES.unknown;
  return status >= FIRST_SERVER_ERROR ? EXIT_CODES.unavailable : EXIT_CODES.refused;
};

const placeLine = ({ detail, peer, step }: Body): readonly string[] =>
  step === undefined || detail?.includes(step) ? [] : [`It failed at ${step}, ${peer}:`];

const retryLine = ({ retryAfterMs }: Body): readonly string[] =>
  retryAfterMs === undefined
    ? []
    : [`Ask again in ${Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND))} s.`];

const outcomeLine = (method: string, status: number, body: Body): readonly string[] => {
  if (body.outcome === 'not-run') return ['It was not done.'];
  return isUnknown(method, status, body) ? ['Whether it was done is not known.'] : [];
};

/**
 * Describes a changed object.
 *
 * @param changed - the object
 * @returns for instance `changed tenant growers (limit, weight)`
 */
export const describeChange = ({ object, change, keys }: Changed): string =>
  `${change} ${object}${keys.length === 0 ? '' : ` (${keys.join(', ')})`}`;

/**
 * Reads the problem that an entry answered with.
 *
 * @param method - HTTP method of the request
 * @param status - HTTP status
 * @param text - body of the answer
 * @returns the problem
 */
export const problemOfAnswer = (method: string, status: number, text: string): CliProblem => {
  let parsed: unknown;
  try {
    parsed = JSON.parse(text);
  } catch {
    parsed = {};
  }
  const checked = BODY.safeParse(parsed);
  const body: Body = checked.success ? checked.data : {};
  const lines = [
    ...placeLine(body),
    body.detail ?? `The entry answered with status ${status}.`,
    ...(body.problems ?? []).map(describeProblem),
    ...(body.changed ?? []).map((each) => `  ${describeChange(each)}`),
    ...outcomeLine(method, status, body),
    ...retryLine(body),
  ];
  return { exitCode: exitCodeOf(method, status, body), lines };
};

/**
 * Makes a problem that was found before anything was sent.
 *
 * @param exitCode - the exit code
 * @param lines - what to print
 * @returns the problem
 */
export const problem = (exitCode: ExitCode, ...lines: readonly string[]): CliProblem => ({
  exitCode,
  lines,
});
