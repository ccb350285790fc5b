/**
 * Jobs and their steps, as callers submit them.
 */
import type { Size } from '../../infrastructure/worker.js';

import type { Queue } from './siteConfiguration.js';

/** A step: a number of identical tasks. */
export interface StepSpec {
  readonly count: number;
  /** Resources that each task requests. */
  readonly size: Size;
  /** Estimated duration of a task, in milliseconds. */
  readonly estimateMs: number;
  /** Indexes of earlier steps whose tasks must all be done before this step starts. */
  readonly after: readonly number[];
  readonly checkpointing: boolean;
  /** Gang scheduling: all tasks run together or not at all. */
  readonly gang: boolean;
  /** Prefers one rack for all tasks: they are slower when spread over several. */
  readonly sameRack: boolean;
  /** Label that a worker must have; empty for none. */
  readonly requiredLabel: string;
  /** Rack that holds the input data; empty for none. */
  readonly dataRack: string;
  /** Maximum number of tasks per worker, for each occurrence of the step; 0 for no limit. */
  readonly perWorkerLimit: number;
  /** Speculative execution: copies of a task may run at the same time. */
  readonly speculative: boolean;
  /** Tasks run until the job is cancelled. */
  readonly longRunning: boolean;
  /** Image that the tasks run; tasks of the same image are expected to behave alike. */
  readonly image: string;
  /** Target of the tail latency of a long-running task, in milliseconds; 0 for none. */
  readonly targetMs: number;
  /** Filler: the tasks use only processor time that other tasks leave unused. */
  readonly filler: boolean;
  /**
   * Maximum number of tasks of a long-running step that the scheduler may stop at the same time.
   */
  readonly allowedAbsent: number;
}

/** A job as submitted. */
export interface JobSpec {
  /** What to run; passed on without being interpreted by the scheduler. */
  readonly spec: string;
  readonly steps: readonly StepSpec[];
  /** How often the steps run; 0 for a job without a schedule. */
  readonly repeatCount: number;
  /** When the first occurrence is due, in Unix milliseconds. */
  readonly startAtMs: number;
  /** Time between the due times of two occurrences, in milliseconds. */
  readonly intervalMs: number;
}

/**
 * Counts the tasks of one occurrence of a job.
 *
 * @param job - the job
 * @returns the tasks of all its steps
 */
export const tasksPerOccurrence = ({ steps }: JobSpec): number =>
  steps.reduce((sum, { count }) => sum + count, 0);

/**
 * Counts the occurrences of a job.
 *
 * @param job - the job
 * @returns how often its steps run
 */
export const occurrenceCountOf = ({ repeatCount }: JobSpec): number => Math.max(1, repeatCount);

/**
 * Counts the tasks of a job that its owner holds at the same time until the job ends, further occurrences that are due
 * left out.
 *
 * @param job - the job
 * @returns the tasks of one occurrence; of all if some of them never end
 */
export const heldTaskCount = (job: JobSpec): number => {
  const isLasting = job.steps.some(({ longRunning }) => longRunning);
  return tasksPerOccurrence(job) * (isLasting ? occurrenceCountOf(job) : 1);
};

/** Number of tasks from which a job is large. */
export const LARGE_JOB_TASKS = 1_000;

/**
 * Checks whether a job is large.
 *
 * @param job - the job
 * @returns true if its owner holds so many tasks for it that few such jobs fill its memory
 */
export const isLargeJob = (job: JobSpec): boolean => heldTaskCount(job) >= LARGE_JOB_TASKS;

/** State of a job as callers see it. */
export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** An accepted job as it is stored. */
export interface AcceptedJob {
  readonly id: string;
  /** Id of the home share, which decides about the job. */
  readonly home: string;
  /** Its queue as configured at acceptance. */
  readonly queue: Queue;
  /** Wall clock at acceptance, in Unix milliseconds. */
  readonly acceptedAtMs: number;
  readonly job: JobSpec;
}

/** Builds the id of a task: job, occurrence, step and index, separated by dots. */
export const taskIdOf = (jobId: string, occurrence: number, step: number, index: number): string =>
  `${jobId}.${occurrence}.${step}.${index}`;

/** Builds the id of a step: job, occurrence and index of the step, separated by dots. */
export const stepIdOf = (jobId: string, occurrence: number, step: number): string =>
  `${jobId}.${occurrence}.${step}`;

/**
 * Extracts the id of the job from the id of a task.
 *
 * @param taskId - id of the task
 * @returns id of the job
 */
export const jobIdOfTask = (taskId: string): string => taskId.slice(0, taskId.indexOf('.'));
