/**
 * Delegation of a job's tasks from its home share to another share, and the report on them.
 *
 * Each task is held by exactly one share: by the home, or by the target of one delegation that is
 * not fully reported yet. Only the owner of the share that holds a task may start it.
 */
import { z } from 'zod';

/** A task that moves between shares, with the state that its next run needs. */
export interface DelegatedTask {
  readonly index: number;
  /** Smallest number that its next run may have. */
  readonly nextRun: number;
  /** Numbers of the runs that failed. */
  readonly failedRuns: readonly number[];
  /** Numbers of the runs under which workers crashed. */
  readonly crashedRuns: readonly number[];
  readonly checkpoint: string;
  /** True if it is long-running and known to have run. */
  readonly hasRun: boolean;
  /**
   * When it was interrupted, in Unix milliseconds; undefined if it runs, is not known to have run, or is not
   * long-running.
   */
  readonly interruptedAtMs: number | undefined;
}

/** Tasks of one step that a home has handed to another share. */
export interface Delegation {
  readonly jobId: string;
  /** Unique among the delegations of the job. */
  readonly name: string;
  /** Id of the home share, which decides about the job. */
  readonly home: string;
  /** Id of the share that is to run the tasks. */
  readonly to: string;
  /**
   * Fencing token of the owner of that share to whom it was sent: a successor must not start the tasks
   * beside that owner. Undefined if it was sent by a version that does not store it.
   */
  readonly toToken: number | undefined;
  readonly occurrence: number;
  readonly step: number;
  readonly tasks: readonly DelegatedTask[];
}

/** State of a delegated task. */
export type TaskOutcome =
  /** Waiting or running. */
  | 'open'
  | 'done'
  /** It has used all its allowed attempts, or workers crashed under it. */
  | 'failed'
  /** Given back to the home share, which may start it again. */
  | 'returned';

/** A delegated task as reported by the share that holds it. */
export interface ReportedTask extends DelegatedTask {
  readonly outcome: TaskOutcome;
}

/** Report on a delegation. Each newer report replaces it until no task is open. */
export interface DelegationReport {
  /** Id of the share that reports. */
  readonly from: string;
  /** True once a worker has started one of the tasks. */
  readonly hasStarted: boolean;
  readonly tasks: readonly ReportedTask[];
}

// Fields: index, nextRun, failedRuns, checkpoint.
const TASK = z.tuple([z.number(), z.number(), z.array(z.number()), z.string()]);

// Numbers of the runs under which workers crashed, by task index.
const CRASHES = z.record(z.string(), z.array(z.number())).optional();

// When long-running tasks that wait were interrupted, in Unix milliseconds, by task index.
const INTERRUPTIONS = z.record(z.string(), z.number()).optional();

// Indexes of the other long-running tasks that have run.
const HAVE_RUN = z.array(z.number()).optional();

const SPARSE_FIELDS = { c: CRASHES, i: INTERRUPTIONS, g: HAVE_RUN };

const DELEGATION = z.object({
  j: z.string(),
  n: z.string(),
  h: z.string(),
  t: z.string(),
  f: z.number().optional(),
  k: z.number(),
  s: z.number(),
  r: z.array(TASK),
  ...SPARSE_FIELDS,
});

const OUTCOMES = { o: 'open', d: 'done', f: 'failed', r: 'returned' } as const;

const REPORT = z.object({
  t: z.string(),
  b: z.boolean(),
  r: z.array(z.tuple([...TASK.def.items, z.enum(['o', 'd', 'f', 'r'])])),
  ...SPARSE_FIELDS,
});

const toTuple = ({ index, nextRun, failedRuns, checkpoint }: DelegatedTask) =>
  [index, nextRun, failedRuns, checkpoint] as const;

/** What few tasks have, by task index. */
interface SparseFields {
  readonly c?: Readonly<Record<string, readonly number[]>> | undefined;
  readonly i?: Readonly<Record<string, number>> | undefined;
  readonly g?: readonly number[] | undefined;
}

/** The fields with crashes and interruptions of all tasks, without those that would be empty. */
const sparseFieldsOf = (tasks: readonly DelegatedTask[]): SparseFields => {
  const crashed = tasks.filter(({ crashedRuns }) => crashedRuns.length > 0);
  const interrupted = tasks.flatMap(({ index, interruptedAtMs }) =>
    interruptedAtMs === undefined ? [] : [[String(index), interruptedAtMs] as const],
  );
  const others = tasks.filter(
    ({ hasRun, interruptedAtMs }) => hasRun && interruptedAtMs === undefined,
  );
  return {
    ...(crashed.length > 0 && {
      c: Object.fromEntries(crashed.map(({ index, crashedRuns }) => [String(index), crashedRuns])),
    }),
    ...(interrupted.length > 0 && { i: Object.fromEntries(interrupted) }),
    ...(others.length > 0 && { g: others.map(({ index }) => index) }),
  };
};

const readSparseFields = (index: number, { c, i, g }: SparseFields) => {
  const interruptedAtMs = i?.[String(index)];
  return {
    crashedRuns: c?.[String(index)] ?? [],
    hasRun: interruptedAtMs !== undefined || (g?.includes(index) ?? false),
    interruptedAtMs,
  };
};

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
    f: delegation.toToken,
    k: delegation.occurrence,
    s: delegation.step,
    r: delegation.tasks.map(toTuple),
    ...sparseFieldsOf(delegation.tasks),
  });

/**
 * Decodes a delegation.
 *
 * @param text - text from the store
 * @returns the delegation
 * @throws if the text was not written by `encodeDelegation`
 */
export const decodeDelegation = (text: string): Delegation => {
  const { j, n, h, t, f, k, s, r, ...sparse } = DELEGATION.parse(JSON.parse(text));
  return {
    jobId: j,
    name: n,
    home: h,
    to: t,
    toToken: f,
    occurrence: k,
    step: s,
    tasks: r.map(([index, nextRun, failedRuns, checkpoint]) => ({
      index,
      nextRun,
      failedRuns,
      checkpoint,
      ...readSparseFields(index, sparse),
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
    ...sparseFieldsOf(tasks),
  });

/**
 * Decodes a report.
 *
 * @param text - text from the store
 * @returns the report
 * @throws if the text was not written by `encodeReport`
 */
export const decodeReport = (text: string): DelegationReport => {
  const { t: from, b: hasStarted, r, ...sparse } = REPORT.parse(JSON.parse(text));
  return {
    from,
    hasStarted,
    tasks: r.map(([index, nextRun, failedRuns, checkpoint, outcome]) => ({
      index,
      nextRun,
      failedRuns,
      checkpoint,
      ...readSparseFields(index, sparse),
      outcome: OUTCOMES[outcome],
    })),
  };
};
