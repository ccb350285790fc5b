/**
 * Orders the waiting steps for placement.
 *
 * Jobs that can still meet their objective come first, by priority of their queue and then by
 * earliest objective. Long-running tasks follow, because they keep the capacity that they get and
 * would leave none for bursts. Late jobs come last.
 *
 * Fillers take no capacity from other tasks, only time of the owner, so they follow all of these, in
 * the same order among themselves.
 */
import type { OwnedJob, OwnedStep } from '../model/ownedJob.js';

/** Orders waiting steps for placement. */
export interface StepOrder {
  /**
   * Sorts steps.
   *
   * @param steps - steps with tasks that may start
   * @param nowMs - monotonic time in milliseconds
   * @returns the steps, the first to be placed first
   */
  sort(steps: readonly OwnedStep[], nowMs: number): readonly OwnedStep[];
}

/** Assumed duration of a task without an estimate, in milliseconds. */
const DEFAULT_ESTIMATE_MS = 1_000;

/**
 * Longest path from each step, in milliseconds, by job. Cached, because the steps of a job never
 * change.
 */
const remainingPathsByJob = new WeakMap<OwnedJob, readonly number[]>();

const remainingPaths = (job: OwnedJob): readonly number[] => {
  const { steps } = job.accepted.job;
  const longest = steps.map(() => 0);
  for (let index = steps.length - 1; index >= 0; index -= 1) {
    const own = steps[index]?.estimateMs || DEFAULT_ESTIMATE_MS;
    const later = steps
      .map(({ after }, at) => (after.includes(index) ? (longest[at] ?? 0) : 0))
      .reduce((most, each) => Math.max(most, each), 0);
    longest[index] = own + later;
  }
  return longest;
};

/**
 * Estimates the longest path of dependent steps that starts with a step, itself included.
 *
 * @param job - the job
 * @param fromStep - index of the step
 * @returns milliseconds
 */
export const remainingPathMs = (job: OwnedJob, fromStep: number): number => {
  const known = remainingPathsByJob.get(job) ?? remainingPaths(job);
  remainingPathsByJob.set(job, known);
  return known[fromStep] ?? 0;
};

/** Critical paths of whole jobs, in milliseconds. */
const criticalPathsByJob = new WeakMap<OwnedJob, number>();

const criticalPathMs = (job: OwnedJob): number => {
  const known = criticalPathsByJob.get(job);
  if (known !== undefined) return known;
  const criticalPath = Math.max(
    0,
    ...job.accepted.job.steps.map((_step, index) => remainingPathMs(job, index)),
  );
  criticalPathsByJob.set(job, criticalPath);
  return criticalPath;
};

/**
 * Returns the time by which a job should be complete.
 *
 * @param job - the job
 * @returns monotonic time in milliseconds
 */
export const objectiveMs = (job: OwnedJob): number => {
  const { stretch, targetLatencyMs } = job.queue;
  return job.acceptedMs + stretch * criticalPathMs(job) + targetLatencyMs;
};

interface Rank {
  readonly step: OwnedStep;
  readonly isFiller: boolean;
  readonly group: number;
  readonly priority: number;
  readonly dueMs: number;
}

/** Groups of steps, in the order in which they are placed. */
const IN_TIME = 0;
const LONG_RUNNING = 1;
const LATE = 2;

/**
 * Checks whether a job can no longer meet its objective, by its estimates.
 *
 * @param step - the step of the job that waits
 * @param nowMs - monotonic time in milliseconds
 * @returns true if it is late; never for long-running tasks
 */
export const isLate = ({ occurrence, index, spec }: OwnedStep, nowMs: number): boolean =>
  !spec.longRunning && nowMs + remainingPathMs(occurrence.job, index) > objectiveMs(occurrence.job);

/** Orders steps that are no fillers before those that are, then by group, priority and objective. */
export class DeadlineStepOrder implements StepOrder {
  sort(steps: readonly OwnedStep[], nowMs: number): readonly OwnedStep[] {
    return steps
      .map((step) => this.rank(step, nowMs))
      .sort(
        (left, right) =>
          Number(left.isFiller) - Number(right.isFiller) ||
          left.group - right.group ||
          left.priority - right.priority ||
          left.dueMs - right.dueMs,
      )
      .map(({ step }) => step);
  }

  private rank(step: OwnedStep, nowMs: number): Rank {
    const { job } = step.occurrence;
    return {
      step,
      isFiller: step.spec.filler,
      group: this.groupOf(step, nowMs),
      priority: job.queue.priority,
      dueMs: objectiveMs(job),
    };
  }

  private groupOf(step: OwnedStep, nowMs: number): number {
    if (step.spec.longRunning) return LONG_RUNNING;
    return isLate(step, nowMs) ? LATE : IN_TIME;
  }
}
