/**
 * Jobs made of steps, as callers hand them in.
 */
import type { Size } from '../../infrastructure/worker.js';

import type { Queue } from './siteConfiguration.js';

/** A step: a number of equal tasks. */
export interface StepSpec {
  readonly count: number;
  /** What each task asks for. */
  readonly size: Size;
  /** Rough duration of a task, in milliseconds. */
  readonly estimateMs: number;
  /** Earlier steps whose tasks must all be done. */
  readonly after: readonly number[];
  readonly checkpointing: boolean;
  /** All tasks run together or not at all. */
  readonly gang: boolean;
  /** Tasks are slower on more than one rack. */
  readonly sameRack: boolean;
  /** Label that a worker must have; empty for none. */
  readonly requiredLabel: string;
  /** Rack of the data; empty for none. */
  readonly dataRack: string;
  /** Most tasks of the step and occurrence on one worker; 0 for no limit. */
  readonly perWorkerLimit: number;
  /** Copies of a task may run at the same time. */
  readonly speculative: boolean;
  /** Tasks run until the job is cancelled. */
  readonly longRunning: boolean;
  /** What the tasks run; tasks of an image behave alike. */
  readonly image: string;
  /** Bound of the tail latency of a long-running task, in milliseconds; 0 for none. */
  readonly targetMs: number;
  /** Takes only processors that others leave unused. */
  readonly filler: boolean;
  /** Tasks of a long-running step that may be away at once through the scheduler's doing. */
  readonly allowedAbsent: number;
}

/** A job. */
export interface JobSpec {
  /** What to run, opaque to the scheduler. */
  readonly spec: string;
  readonly steps: readonly StepSpec[];
  /** How often the steps run; 0 for a job without times. */
  readonly repeatCount: number;
  /** When the first occurrence is due, in Unix milliseconds. */
  readonly startAtMs: number;
  readonly intervalMs: number;
}

/** State of a job as callers see it. */
export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** An accepted job as it is stored. */
export interface AcceptedJob {
  readonly id: string;
  /** Id of the share that decides about it. */
  readonly home: string;
  /** Its queue as configured when it was accepted. */
  readonly queue: Queue;
  /** Wall clock at acceptance, in Unix milliseconds. */
  readonly acceptedAtMs: number;
  readonly job: JobSpec;
}

/** Names a task: job, occurrence, step and index. */
export const taskIdOf = (jobId: string, occurrence: number, step: number, index: number): string =>
  `${jobId}.${occurrence}.${step}.${index}`;

/** Names a step: job, occurrence and number. */
export const stepIdOf = (jobId: string, occurrence: number, step: number): string =>
  `${jobId}.${occurrence}.${step}`;

/**
 * Names the job of a task.
 *
 * @param taskId - the task
 * @returns the job's id
 */
export const jobIdOfTask = (taskId: string): string => taskId.slice(0, taskId.indexOf('.'));
