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
const chains = new WeakMap<OwnedJob, readonly number[]>();

const longestChains = (job: OwnedJob): readonly number[] => {
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
 * @param from - index of the step
 * @returns milliseconds
 */
export const chainMs = (job: OwnedJob, from: number): number => {
  const known = chains.get(job) ?? longestChains(job);
  chains.set(job, known);
  return known[from] ?? 0;
};

/** Longest chains of whole jobs. */
const wholeChains = new WeakMap<OwnedJob, number>();

const wholeChainMs = (job: OwnedJob): number => {
  const known = wholeChains.get(job);
  if (known !== undefined) return known;
  const whole = Math.max(0, ...job.accepted.job.steps.map((_step, index) => chainMs(job, index)));
  wholeChains.set(job, whole);
  return whole;
};

/**
 * Tells by when a job should be complete.
 *
 * @param job - the job
 * @returns monotonic time in milliseconds
 */
export const objectiveMs = (job: OwnedJob): number => {
  const { stretch, targetLatencyMs } = job.queue;
  return job.acceptedMs + stretch * wholeChainMs(job) + targetLatencyMs;
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
    const isInTime = nowMs + chainMs(job, step.index) <= dueMs;
    return { step, group: isInTime ? IN_TIME : LATE, priority, dueMs };
  }
}
