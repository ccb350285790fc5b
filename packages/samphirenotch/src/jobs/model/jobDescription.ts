/**
 * Figures of a job that are logged when its owner takes it in, to explain its waiting time later.
 */
import { tasksPerOccurrence, type AcceptedJob } from './jobSpec.js';

/** Number of steps whose estimates are logged. */
const MAXIMUM_LOGGED_STEPS = 16;

/** Figures of a job, short enough for a log line. */
export interface JobDescription {
  readonly priority: number;
  readonly stretch: number;
  readonly targetLatencyMs: number;
  readonly steps: number;
  readonly tasks: number;
  /** How often the steps run; undefined for a job without a schedule. */
  readonly occurrences: number | undefined;
  /** True if some step runs until the job is cancelled. */
  readonly isLasting: boolean;
  /** True if some step uses only processor time that other tasks leave unused. */
  readonly hasFillers: boolean;
  /** Estimated task durations of the first steps, in milliseconds, separated by spaces. */
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
  tasks: tasksPerOccurrence(job),
  occurrences: job.repeatCount > 0 ? job.repeatCount : undefined,
  isLasting: job.steps.some(({ longRunning }) => longRunning),
  hasFillers: job.steps.some(({ filler }) => filler),
  estimatesMs: job.steps
    .slice(0, MAXIMUM_LOGGED_STEPS)
    .map(({ estimateMs }) => Math.round(estimateMs))
    .join(' '),
});
