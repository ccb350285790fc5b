/**
 * Progress of a job that must survive a change of its owner: which tasks are done, which runs
 * failed, under which runs workers crashed, on which workers long-running tasks may be, since when those
 * that were interrupted wait.
 */
import { z } from 'zod';

import type { Clock } from '../../time/clock.js';
import { toMonotonicMs, toUnixMs } from '../../time/unixTime.js';

import { IndexRanges } from './indexRanges.js';

const STEP = z.object({
  /** Indexes of done tasks as ranges: start, length, start, length... */
  d: z.array(z.number()),
  /** Numbers of failed runs by task index. */
  f: z.record(z.string(), z.array(z.number())).optional(),
  /** Numbers of the runs under which workers crashed, by task index. */
  c: z.record(z.string(), z.array(z.number())).optional(),
  /** Ids of the workers on which long-running tasks may be, by task index. */
  p: z.record(z.string(), z.string()).optional(),
  /** When long-running tasks that wait were interrupted, in Unix milliseconds, by task index. */
  i: z.record(z.string(), z.number()).optional(),
});

const PROGRESS = z.object({
  o: z.array(z.object({ k: z.number(), s: z.array(STEP) })),
  /** Indexes of the occurrences that are done and have no entry above, as ranges. */
  e: z.array(z.number()).optional(),
  /** Fencing token of the owner that wrote the places. */
  t: z.number().optional(),
});

/** Run numbers by task index. */
type RunsByTask = ReadonlyMap<number, readonly number[]>;

/** Indexes of the done tasks of a step, and numbers of runs by task index. */
export interface StepProgress {
  readonly done: IndexRanges;
  readonly failedRuns: RunsByTask;
  /** Runs under which workers crashed. */
  readonly crashedRuns: RunsByTask;
  /** Place of each long-running task: see `OwnedTask.place`. */
  readonly places: ReadonlyMap<number, string>;
  /** Monotonic time at which each long-running task that waits was interrupted, in milliseconds. */
  readonly interruptions: ReadonlyMap<number, number>;
}

/** Progress of a job. */
export interface JobProgress {
  /** Indexes of occurrences that are done. Owners of former versions stored the steps of these. */
  readonly doneOccurrences: IndexRanges;
  /** Progress of the steps by index of the occurrence; none of an occurrence without any progress. */
  readonly occurrences: ReadonlyMap<number, readonly StepProgress[]>;
}

/** Stored part of a task. */
interface TaskProgress {
  readonly index: number;
  readonly done: boolean;
  readonly failedRuns: readonly number[];
  readonly crashedRuns: readonly number[];
  readonly place: string | undefined;
  readonly runs: readonly unknown[];
  /** Monotonic time in milliseconds. */
  readonly interruptedMs: number | undefined;
  readonly hasRun: boolean;
}

/** The part of a job that `encodeProgress` reads. */
export interface ProgressSource {
  readonly doneOccurrences: IndexRanges;
  /** The occurrences that are open. */
  readonly occurrences: ReadonlyMap<
    number,
    {
      readonly index: number;
      readonly steps: readonly {
        readonly spec: { readonly longRunning: boolean };
        readonly tasks: readonly TaskProgress[];
      }[];
    }
  >;
}

/** Encodes lists of run numbers by task index, without empty lists; undefined if all are empty. */
const encodeRuns = (
  tasks: readonly TaskProgress[],
  runsOf: (task: TaskProgress) => readonly number[],
): Readonly<Record<string, readonly number[]>> | undefined => {
  const rows = tasks
    .filter((task) => runsOf(task).length > 0)
    .map((task) => [String(task.index), runsOf(task)] as const);
  return rows.length > 0 ? Object.fromEntries(rows) : undefined;
};

/** Encodes values by task index, without missing ones; undefined if all are missing. */
const encodeByTask = <Value>(
  tasks: readonly TaskProgress[],
  valueOf: (task: TaskProgress) => Value | undefined,
): Readonly<Record<string, Value>> | undefined => {
  const rows = tasks.flatMap((task) => {
    const value = valueOf(task);
    return value === undefined ? [] : [[String(task.index), value] as const];
  });
  return rows.length > 0 ? Object.fromEntries(rows) : undefined;
};

/**
 * Returns when a task that has run and waits was interrupted.
 *
 * @param task - the task
 * @param clock - clock of this process
 * @returns Unix time in milliseconds; undefined for any other task
 */
export const interruptionOf = (
  { interruptedMs, hasRun, runs }: Pick<TaskProgress, 'interruptedMs' | 'hasRun' | 'runs'>,
  clock: Clock,
): number | undefined => {
  if (interruptedMs === undefined || !hasRun || runs.length > 0) return undefined;
  return toUnixMs(clock, interruptedMs);
};

const NOTHING: ReadonlyMap<number, never> = new Map<number, never>();

/** A schedule may have thousands of occurrences, so what is missing shares one map. */
const decodeByTask = <Value>(
  values: Readonly<Record<string, Value>> | undefined,
): ReadonlyMap<number, Value> =>
  values
    ? new Map(Object.entries(values).map(([index, value]) => [Number(index), value]))
    : NOTHING;

const hasProgress = ({
  done,
  failedRuns,
  crashedRuns,
  places,
  interruptions,
}: StepProgress): boolean =>
  done.size + failedRuns.size + crashedRuns.size + places.size + interruptions.size > 0;

/**
 * Encodes the progress of a job.
 *
 * @param job - the job
 * @param fencingToken - fencing token of the owner that writes it
 * @param clock - clock of the owner
 * @returns text for the store
 */
export const encodeProgress = (job: ProgressSource, fencingToken: number, clock: Clock): string => {
  const occurrences = [...job.occurrences.values()].map(({ index, steps }) => ({
    k: index,
    s: steps.map(({ spec, tasks }) => {
      const f = encodeRuns(tasks, ({ failedRuns }) => failedRuns);
      const c = encodeRuns(tasks, ({ crashedRuns }) => crashedRuns);
      const p = encodeByTask(tasks, ({ place }) => place);
      const i = spec.longRunning
        ? encodeByTask(tasks, (task) => interruptionOf(task, clock))
        : undefined;
      const doneTasks = tasks.filter(({ done }) => done);
      const d = IndexRanges.of(doneTasks.map((task) => task.index)).toPairs();
      return {
        d,
        ...(f && { f }),
        ...(c && { c }),
        ...(p && { p }),
        ...(i && { i }),
      };
    }),
  }));
  const hasPlaces = occurrences.some(({ s }) => s.some(({ p }) => p !== undefined));
  const e = job.doneOccurrences.toPairs();
  return JSON.stringify({
    o: occurrences,
    ...(e.length > 0 && { e }),
    ...(hasPlaces && { t: fencingToken }),
  });
};

/**
 * Decodes the progress of a job.
 *
 * @param text - text from the store
 * @param placesSince - lowest fencing token of an owner whose places still hold
 * @param clock - clock of this process
 * @returns the progress
 * @throws if the text was not written by `encodeProgress`
 */
export const decodeProgress = (text: string, placesSince: number, clock: Clock): JobProgress => {
  const { o: occurrences, e, t: token } = PROGRESS.parse(JSON.parse(text));
  const arePlacesValid = token !== undefined && token >= placesSince;
  const rows = occurrences.map(({ k, s }) => {
    const steps = s.map(({ d, f, c, p, i }) => ({
      done: IndexRanges.fromPairs(d),
      failedRuns: decodeByTask(f),
      crashedRuns: decodeByTask(c),
      places: decodeByTask(arePlacesValid ? p : undefined),
      interruptions: new Map(
        [...decodeByTask(i)].map(([index, unixMs]) => [index, toMonotonicMs(clock, unixMs)]),
      ),
    }));
    return [k, steps] as const;
  });
  return {
    doneOccurrences: IndexRanges.fromPairs(e ?? []),
    occurrences: new Map(rows.filter(([, steps]) => steps.some(hasProgress))),
  };
};
