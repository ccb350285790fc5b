/**
 * The order in which waiting steps are offered room.
 *
 * Answers the pattern of bursts beside long-running tasks that would take all room: jobs that can
 * still be in time first, urgent queues before others and within them the earliest deadline; then
 * long-running tasks, which keep what they get; then late jobs.
 */
import type { OwnedJob, OwnedStep } from '../model/ownedJob.js';

/** Orders steps that wait for room. */
export interface StepOrder {
  /**
   * @param steps - steps with tasks that may start
   * @param nowMs - monotonic time in milliseconds
   * @returns the steps, first served first
   */
  sort(steps: readonly OwnedStep[], nowMs: number): readonly OwnedStep[];
}

/** Assumed duration of a task whose estimate is missing, in milliseconds. */
const DEFAULT_ESTIMATE_MS = 1_000;

/** Chains by job; the steps of a job never change. */
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
 * Estimates the longest chain of work that starts with a step.
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

/** Longest chains of whole jobs. */
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
 * Tells by when a job should be complete.
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
  readonly group: number;
  readonly priority: number;
  readonly dueMs: number;
}

/** Groups in the order in which they are served. */
const IN_TIME = 0;
const LONG_RUNNING = 1;
const LATE = 2;

/** Deadlines of those that can be in time first. */
export class DeadlineStepOrder implements StepOrder {
  sort(steps: readonly OwnedStep[], nowMs: number): readonly OwnedStep[] {
    return steps
      .map((step) => this.rank(step, nowMs))
      .sort(
        (left, right) =>
          left.group - right.group || left.priority - right.priority || left.dueMs - right.dueMs,
      )
      .map(({ step }) => step);
  }

  private rank(step: OwnedStep, nowMs: number): Rank {
    const { job } = step.occurrence;
    const dueMs = objectiveMs(job);
    const { priority } = job.queue;
    if (step.spec.longRunning) return { step, group: LONG_RUNNING, priority, dueMs };
    const isInTime = nowMs + remainingPathMs(job, step.index) <= dueMs;
    return { step, group: isInTime ? IN_TIME : LATE, priority, dueMs };
  }
}
