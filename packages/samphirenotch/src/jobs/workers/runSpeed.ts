/**
 * Compares the speed of a run with the median of its step, over all workers.
 *
 * The tasks of a step do about the same work, whereas estimates of durations are rough.
 */
import { FULL_PERCENT, type OwnedRun, type OwnedStep } from '../model/ownedJob.js';

/** Shortest time over which a rate is computed, in milliseconds; workers report whole percents. */
const MIN_SPAN_MS = 500;

/** Number of rates of a step that must be known before its median is used. */
const MIN_RATES = 3;

/** Number of rates of completed runs that are kept per step. */
const MAX_DONE_RATES = 30;

/** Progress that a run may have made without reporting another whole percent, in percent. */
const UNREPORTED_PERCENT = 0.5;

/**
 * Computes the rate at which a run progresses.
 *
 * @param run - the run
 * @returns percent per millisecond; undefined if its pace slows the run or too little time is
 *   covered by reports
 */
export const progressRate = (run: OwnedRun): number | undefined => {
  const { firstSample: sighted, reportedAtWorkerMs, phase, pace, percent } = run;
  if (phase !== 'running' || pace !== FULL_PERCENT || !sighted || percent >= FULL_PERCENT) {
    return undefined;
  }
  const spanMs = reportedAtWorkerMs - sighted.clockMs;
  if (spanMs < MIN_SPAN_MS) return undefined;
  return Math.max(UNREPORTED_PERCENT, percent - sighted.percent) / spanMs;
};

/**
 * Records the rate of a completed run for its step.
 *
 * @param run - the run
 * @param endedMs - monotonic time at which its worker reported its end, in milliseconds
 */
export const recordDoneRate = (run: OwnedRun, endedMs: number): void => {
  const { firstSample: sighted, pace, startAnsweredMs: begunMs } = run;
  const { completedRunRates: doneRates } = run.task.step;
  if (pace !== FULL_PERCENT || begunMs === undefined || run.task.checkpoint !== '') return;
  if (sighted && sighted.atMs > begunMs + MIN_SPAN_MS * 2) return;
  doneRates.push(FULL_PERCENT / Math.max(1, endedMs - begunMs));
  if (doneRates.length > MAX_DONE_RATES) doneRates.shift();
};

/**
 * Computes the median rate of the runs of a step.
 *
 * @param step - the step
 * @returns the median rate in percent per millisecond; undefined while too few rates are known
 */
export const medianRate = (step: OwnedStep): number | undefined => {
  const rates = [...step.completedRunRates];
  step.tasks.forEach(({ runs }) =>
    runs.forEach((run) => {
      const rate = progressRate(run);
      if (rate !== undefined) rates.push(rate);
    }),
  );
  if (rates.length < MIN_RATES) return undefined;
  return Float64Array.from(rates).sort()[Math.floor(rates.length / 2)];
};

/** Speed of a run compared with the median of its step. */
export interface RunSpeed {
  readonly run: OwnedRun;
  /** How many times slower it is than the median of its step. */
  readonly slowdown: number;
  /** Remaining time of the run on its current worker, in milliseconds. */
  readonly remainingMs: number;
  /** Time of a whole run, from the start, on another worker, in milliseconds. */
  readonly rerunMs: number;
}

/**
 * Compares a run with the median of its step.
 *
 * @param run - the run
 * @param median - median rate of its step, in percent per millisecond
 * @returns its speed; undefined while its rate or the median is unknown
 */
export const speedOf = (run: OwnedRun, median: number | undefined): RunSpeed | undefined => {
  const rate = progressRate(run);
  if (rate === undefined || median === undefined) return undefined;
  return {
    run,
    slowdown: median / rate,
    remainingMs: (FULL_PERCENT - run.percent) / rate,
    rerunMs: FULL_PERCENT / median,
  };
};
