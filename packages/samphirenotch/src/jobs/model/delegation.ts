/**
 * Tasks of a job that its home has handed to another share, and what became of them.
 *
 * A task is in one place at a time: at home, or in one delegation that is not answered yet. Only the
 * owner of the share where it is may start it.
 */
import { z } from 'zod';

/** A task that changes shares, with what its next run has to know. */
export interface DelegatedTask {
  readonly index: number;
  /** Smallest number for its next run. */
  readonly nextRun: number;
  /** Numbers of the runs that failed. */
  readonly failedRuns: readonly number[];
  readonly checkpoint: string;
}

/** Tasks of one step that a home has handed on. */
export interface Delegation {
  readonly jobId: string;
  /** Tells it from others of the job. */
  readonly name: string;
  /** Id of the share that decides about the job. */
  readonly home: string;
  /** Id of the share that is to run the tasks. */
  readonly to: string;
  readonly occurrence: number;
  readonly step: number;
  readonly tasks: readonly DelegatedTask[];
}

/** What became of a delegated task. */
export type TaskOutcome =
  /** It waits or runs. */
  | 'open'
  | 'done'
  /** It has failed as often as it may. */
  | 'failed'
  /** It is at home again. */
  | 'returned';

/** A delegated task as its share reports it. */
export interface ReportedTask extends DelegatedTask {
  readonly outcome: TaskOutcome;
}

/** Answer to a delegation; replaced until no task of it is open. */
export interface DelegationReport {
  /** Id of the share that reports. */
  readonly from: string;
  /** A worker has begun one of the tasks. */
  readonly hasStarted: boolean;
  readonly tasks: readonly ReportedTask[];
}

// Index, next run, failed runs, checkpoint.
const TASK = z.tuple([z.number(), z.number(), z.array(z.number()), z.string()]);

const DELEGATION = z.object({
  j: z.string(),
  n: z.string(),
  h: z.string(),
  t: z.string(),
  k: z.number(),
  s: z.number(),
  r: z.array(TASK),
});

const OUTCOMES = { o: 'open', d: 'done', f: 'failed', r: 'returned' } as const;

const REPORT = z.object({
  t: z.string(),
  b: z.boolean(),
  r: z.array(z.tuple([...TASK.def.items, z.enum(['o', 'd', 'f', 'r'])])),
});

const toTuple = ({ index, nextRun, failedRuns, checkpoint }: DelegatedTask) =>
  [index, nextRun, failedRuns, checkpoint] as const;

/**
 * Encodes a delegation.
 *
 * @param delegation - the delegation
 * @returns text for the store
 */
export const encodeDelegation = (delegation: Delegation): string =>
  JSON.stringify({
    j: delegation.jobId,
    n: delegation.name,
    h: delegation.home,
    t: delegation.to,
    k: delegation.occurrence,
    s: delegation.step,
    r: delegation.tasks.map(toTuple),
  });

/**
 * Decodes a delegation.
 *
 * @param text - text from the store
 * @returns the delegation
 * @throws if the text was not written by `encodeDelegation`
 */
export const decodeDelegation = (text: string): Delegation => {
  const { j, n, h, t, k, s, r } = DELEGATION.parse(JSON.parse(text));
  return {
    jobId: j,
    name: n,
    home: h,
    to: t,
    occurrence: k,
    step: s,
    tasks: r.map(([index, nextRun, failedRuns, checkpoint]) => ({
      index,
      nextRun,
      failedRuns,
      checkpoint,
    })),
  };
};

/**
 * Encodes a report.
 *
 * @param report - the report
 * @returns text for the store
 */
export const encodeReport = ({ from, hasStarted, tasks }: DelegationReport): string =>
  JSON.stringify({
    t: from,
    b: hasStarted,
    r: tasks.map((task) => [...toTuple(task), task.outcome[0]]),
  });

/**
 * Decodes a report.
 *
 * @param text - text from the store
 * @returns the report
 * @throws if the text was not written by `encodeReport`
 */
export const decodeReport = (text: string): DelegationReport => {
  const { t: from, b: hasStarted, r } = REPORT.parse(JSON.parse(text));
  return {
    from,
    hasStarted,
    tasks: r.map(([index, nextRun, failedRuns, checkpoint, outcome]) => ({
      index,
      nextRun,
      failedRuns,
      checkpoint,
      outcome: OUTCOMES[outcome],
    })),
  };
};
