/**
 * Runs that may crash their workers, as the owner of a share stores them for its successor.
 */
import { z } from 'zod';

/** A run that may crash its worker. */
export interface WatchedRun {
  readonly taskId: string;
  /** Number of the run. */
  readonly run: number;
  /** Id of the worker. */
  readonly worker: string;
  /** When the incarnation of the worker started that got it, in Unix milliseconds. */
  readonly bornMs: number;
  /** True if the task was a suspect, and no other run of the worker could crash it. */
  readonly isAlone: boolean;
}

/** Workers may have crashed under runs that no owner knows any more. */
export interface CrashDoubt {
  /** Revision of the store: only tasks of jobs that were accepted until then can be the cause. */
  readonly revision: number;
  /** Ids of the workers. */
  readonly workers: readonly string[];
}

/** What an owner leaves to its successor about crashes of workers. */
export interface WatchedRunRecord {
  /** Undefined if no such worker is known. */
  readonly doubt: CrashDoubt | undefined;
  /** Runs of which it is not known how they ended. */
  readonly runs: readonly WatchedRun[];
}

const RECORD = z.object({
  // Revision, workers.
  d: z.tuple([z.number(), z.array(z.string())]).optional(),
  // Task, run, worker, its birth, whether it was alone there.
  r: z.array(z.tuple([z.string(), z.number(), z.string(), z.number(), z.boolean()])),
});

/** The record of an owner that has left none. */
export const NO_WATCHED_RUNS: WatchedRunRecord = { doubt: undefined, runs: [] };

/**
 * Encodes a record.
 *
 * @param record - the record
 * @returns text for the store
 */
export const encodeWatchedRuns = ({ doubt, runs }: WatchedRunRecord): string =>
  JSON.stringify({
    ...(doubt && { d: [doubt.revision, doubt.workers] }),
    r: runs.map(({ taskId, run, worker, bornMs, isAlone }) => [
      taskId,
      run,
      worker,
      bornMs,
      isAlone,
    ]),
  });

/**
 * Decodes a record.
 *
 * @param text - text from the store
 * @returns the record
 * @throws if the text was not written by `encodeWatchedRuns`
 */
export const decodeWatchedRuns = (text: string): WatchedRunRecord => {
  const { d, r } = RECORD.parse(JSON.parse(text));
  return {
    doubt: d && { revision: d[0], workers: d[1] },
    runs: r.map(([taskId, run, worker, bornMs, isAlone]) => ({
      taskId,
      run,
      worker,
      bornMs,
      isAlone,
    })),
  };
};
