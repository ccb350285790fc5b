/**
 * Progress of a job that must survive a change of its owner: which tasks are done, which runs
 * failed.
 */
import { z } from 'zod';

const STEP = z.object({
  /** Indexes of done tasks as ranges: start, length, start, length... */
  d: z.array(z.number()),
  /** Numbers of failed runs by task index. */
  f: z.record(z.string(), z.array(z.number())).optional(),
});

const PROGRESS = z.object({ o: z.array(z.object({ k: z.number(), s: z.array(STEP) })) });

/** Indexes of the done tasks of a step, and numbers of failed runs by task index. */
export interface StepProgress {
  readonly done: ReadonlySet<number>;
  readonly failedRuns: ReadonlyMap<number, readonly number[]>;
}

/** Progress of the steps by index of the occurrence. */
export type JobProgress = ReadonlyMap<number, readonly StepProgress[]>;

/** Stored part of a task. */
interface TaskProgress {
  readonly index: number;
  readonly done: boolean;
  readonly failedRuns: readonly number[];
}

/** The part of a job that `encodeProgress` reads. */
export interface ProgressSource {
  readonly occurrences: ReadonlyMap<
    number,
    {
      readonly index: number;
      readonly steps: readonly { readonly tasks: readonly TaskProgress[] }[];
    }
  >;
}

const toRanges = (flags: readonly boolean[]): readonly number[] => {
  const ranges: number[] = [];
  flags.forEach((flag, index) => {
    if (!flag) return;
    const last = ranges.length - 2;
    const start = ranges[last];
    const length = ranges[last + 1];
    if (start !== undefined && length !== undefined && start + length === index) {
      ranges[last + 1] = length + 1;
      return;
    }
    ranges.push(index, 1);
  });
  return ranges;
};

const fromRanges = (ranges: readonly number[]): ReadonlySet<number> => {
  const done = new Set<number>();
  for (let at = 0; at + 1 < ranges.length; at += 2) {
    const start = ranges[at] ?? 0;
    const length = ranges[at + 1] ?? 0;
    for (let index = start; index < start + length; index += 1) done.add(index);
  }
  return done;
};

/**
 * Encodes the progress of a job.
 *
 * @param job - the job
 * @returns text for the store
 */
export const encodeProgress = (job: ProgressSource): string => {
  const occurrences = [...job.occurrences.values()].map(({ index, steps }) => ({
    k: index,
    s: steps.map(({ tasks }) => {
      const failed = tasks
        .filter(({ failedRuns }) => failedRuns.length > 0)
        .map(({ index: task, failedRuns }) => [String(task), failedRuns]);
      return {
        d: toRanges(tasks.map(({ done }) => done)),
        ...(failed.length > 0 ? { f: Object.fromEntries(failed) } : {}),
      };
    }),
  }));
  return JSON.stringify({ o: occurrences });
};

/**
 * Decodes the progress of a job.
 *
 * @param text - text from the store
 * @returns the progress
 * @throws if the text was not written by `encodeProgress`
 */
export const decodeProgress = (text: string): JobProgress => {
  const { o: occurrences } = PROGRESS.parse(JSON.parse(text));
  return new Map(
    occurrences.map(({ k, s }) => [
      k,
      s.map(({ d, f }) => ({
        done: fromRanges(d),
        failedRuns: new Map(Object.entries(f ?? {}).map(([index, runs]) => [Number(index), runs])),
      })),
    ]),
  );
};
