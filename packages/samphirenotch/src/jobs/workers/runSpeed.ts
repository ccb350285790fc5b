/**
 * Compares the speed of a run with that of its siblings.
 *
 * The tasks of a step do about the same work, while estimates are rough: what a run makes of its
 * work in a second is compared with the median of its step, on other workers too.
 */
import { FULL_PERCENT, type OwnedRun, type OwnedStep } from '../model/ownedJob.js';

/** Least time over which a rate is read, in milliseconds: workers report whole percents. */
const MIN_SPAN_MS = 500;

/** Rates of a step that must be known before one of them is judged. */
const MIN_RATES = 3;

/** Rates of ended runs that a step remembers. */
const MAX_DONE_RATES = 30;

/** Part of a percent that a run without progress may have made. */
const UNREPORTED_PERCENT = 0.5;

/**
 * Tells how fast a run works.
 *
 * @param run - the run
 * @returns percent per millisecond; undefined if it is paced or was not seen for long enough
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
 * Remembers how fast a run was that is done.
 *
 * @param run - the run
 * @param endedMs - monotonic time at which its worker showed its end, in milliseconds
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
 * Tells how fast the runs of a step work.
 *
 * @param step - the step
 * @returns the median rate in percent per millisecond; undefined while too little is known
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

/** A run beside what its step lets expect. */
export interface RunSpeed {
  readonly run: OwnedRun;
  /** How many times slower it is than the median of its step. */
  readonly slowdown: number;
  /** Time that it still takes where it is, in milliseconds. */
  readonly remainingMs: number;
  /** Time that a whole run takes on another worker, in milliseconds. */
  readonly rerunMs: number;
}

/**
 * Judges a run.
 *
 * @param run - the run
 * @param median - median rate of its step, in percent per millisecond
 * @returns its speed; undefined while too little is known
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
