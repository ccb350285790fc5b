/**
 * What logs tell of a job when it is taken in, so that its waits can be judged afterwards.
 */
import type { AcceptedJob } from './jobSpec.js';

/** Steps of which estimates are logged. */
const MAXIMUM_LOGGED_STEPS = 16;

/** Figures of a job, short enough for a log line. */
export interface JobDescription {
  readonly priority: number;
  readonly stretch: number;
  readonly targetLatencyMs: number;
  readonly steps: number;
  readonly tasks: number;
  /** How often the steps run, where the job has times. */
  readonly occurrences: number | undefined;
  /** Some step runs until the job is cancelled. */
  readonly isLasting: boolean;
  /** Some step takes only processors that others leave unused. */
  readonly hasFillers: boolean;
  /** Estimates of the first steps in milliseconds, with spaces between. */
  readonly estimatesMs: string;
}

/**
 * Describes a job for the log.
 *
 * @param accepted - the job
 * @returns its figures
 */
export const describeJob = ({ queue, job }: AcceptedJob): JobDescription => ({
  priority: queue.priority,
  stretch: queue.stretch,
  targetLatencyMs: queue.targetLatencyMs,
  steps: job.steps.length,
  tasks: job.steps.reduce((sum, { count }) => sum + count, 0),
  occurrences: job.repeatCount > 0 ? job.repeatCount : undefined,
  isLasting: job.steps.some(({ longRunning }) => longRunning),
  hasFillers: job.steps.some(({ filler }) => filler),
  estimatesMs: job.steps
    .slice(0, MAXIMUM_LOGGED_STEPS)
    .map(({ estimateMs }) => Math.round(estimateMs))
    .join(' '),
});
