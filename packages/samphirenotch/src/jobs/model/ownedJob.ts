/**
 * A job in the memory of its owner: occurrences, steps, tasks and their runs.
 */
import type { Size } from '../../infrastructure/worker.js';

import type { Delegation } from './delegation.js';
import type { JobProgress, StepProgress } from './jobProgress.js';
import { stepIdOf, taskIdOf, type AcceptedJob, type StepSpec } from './jobSpec.js';
import type { Queue } from './siteConfiguration.js';

/** Where a run stands, as far as its owner knows. */
export type RunPhase =
  /** The order to start it was sent. */
  | 'starting'
  | 'running'
  /** The order was not answered: it may run, or may yet start. */
  | 'in-doubt'
  | 'stopping';

/** A run at one moment. */
export interface RunSample {
  readonly percent: number;
  /** What the worker's clock showed, in milliseconds. */
  readonly clockMs: number;
  /** Monotonic time in milliseconds. */
  readonly atMs: number;
}

/** What a run needs of its worker. */
export interface RunAgent {
  /** The worker's id. */
  readonly id: string;
  /**
   * Stops a run. Its room is taken until the worker has listed its end.
   *
   * @param run - the run
   * @param reason - for the log
   */
  stop(run: OwnedRun, reason: string): void;
}

/** One start of a task on a worker. */
export interface OwnedRun {
  readonly task: OwnedTask;
  readonly run: number;
  readonly agent: RunAgent;
  readonly size: Size;
  phase: RunPhase;
  /** Monotonic time of the order or of the sighting, in milliseconds. */
  readonly startedMs: number;
  /** Monotonic time at which the worker answered the start; undefined if only a list showed the run. */
  startAnsweredMs: number | undefined;
  /** Monotonic time at which the owner knew of the start. */
  confirmedMs: number | undefined;
  percent: number;
  /** Where it stood when it was first seen at its pace; undefined until then. */
  firstSample: RunSample | undefined;
  /** Monotonic time at which its worker made the last report, in milliseconds. */
  reportedMs: number;
  /** What the worker's clock showed then, in milliseconds. */
  reportedAtWorkerMs: number;
  /** Monotonic time of the report in which its percent last changed, or of its last pace. */
  progressedMs: number;
  gauge: number;
  /** Share of its processors that it is let work at, in percent. */
  pace: number;
  /** Monotonic time since when the gauge is over the step's target; undefined if it is not. */
  overTargetSinceMs: number | undefined;
}

/** Pace at which a worker starts a task, and progress of one that is done, in percent. */
export const FULL_PERCENT = 100;

/** Progress that may be thrown away by moving a run without checkpoints, in percent. */
const EXPENDABLE_PROGRESS_PERCENT = 30;

/**
 * Tells whether a run serves users under a target.
 *
 * @param run - the run
 * @returns true if its step has a target
 */
export const hasLatencyTarget = ({ task }: OwnedRun): boolean => task.step.spec.targetMs > 0;

/**
 * Tells whether a run takes only processors that others leave unused.
 *
 * @param run - the run
 * @returns true if its step fills
 */
export const isFiller = ({ task }: OwnedRun): boolean => task.step.spec.filler;

/**
 * Tells whether little work is lost if a run is stopped and its task starts elsewhere.
 *
 * @param run - the run
 * @returns true with checkpoints, or near the beginning
 */
export const isCheapToRestart = ({ task, percent }: OwnedRun): boolean =>
  task.step.spec.checkpointing || percent < EXPENDABLE_PROGRESS_PERCENT;

/** A task. */
export interface OwnedTask {
  readonly step: OwnedStep;
  readonly index: number;
  readonly id: string;
  done: boolean;
  /** Numbers of the runs that failed. */
  failedRuns: number[];
  nextRun: number;
  checkpoint: string;
  readonly runs: OwnedRun[];
  /** Monotonic time before which it is not started again, in milliseconds. */
  notBeforeMs: number;
  /** Workers on which it failed. */
  readonly failedWorkerIds: Set<string>;
  /** Another share has it: nothing of it is started here. */
  isElsewhere: boolean;
}

/** A step of an occurrence. */
export interface OwnedStep {
  /** Job, occurrence and number: alike in all parts of a job that a share has. */
  readonly id: string;
  readonly occurrence: OwnedOccurrence;
  readonly index: number;
  readonly spec: StepSpec;
  readonly tasks: OwnedTask[];
  doneCount: number;
  /** Speeds of runs that are done, in percent per millisecond. */
  readonly completedRunRates: number[];
  /** Monotonic time since when its tasks find no worker, in milliseconds; undefined if they do. */
  unplacedSinceMs: number | undefined;
}

/** One time that the steps of a job run. */
export interface OwnedOccurrence {
  readonly job: OwnedJob;
  readonly index: number;
  /** Unix milliseconds; 0 for a job without times. */
  readonly dueAtMs: number;
  readonly steps: OwnedStep[];
}

/** What a job needs to be made. */
export interface OwnedJobOptions {
  readonly accepted: AcceptedJob;
  readonly revision: number;
  readonly queue: Queue;
  readonly progress: JobProgress | undefined;
  /** Smallest number for new runs, above all that former owners used. */
  readonly firstRun: number;
  /** Monotonic time that stands for its acceptance, in milliseconds. */
  readonly acceptedMs: number;
  /** Monotonic time at which this owner heard of it, in milliseconds. */
  readonly knownSinceMs: number;
  /** What another share, its home, has handed to this one; undefined for a job of this share. */
  readonly delegation?: Delegation;
}

/** A job. */
export class OwnedJob {
  readonly occurrences = new Map<number, OwnedOccurrence>();

  readonly accepted: AcceptedJob;

  readonly revision: number;

  readonly acceptedMs: number;

  readonly knownSinceMs: number;

  /** The queue as last configured. */
  queue: Queue;

  /** No task waits: nothing to do until one of its runs ends. */
  isFullyStarted = false;

  /** A worker has begun a task of it at some time. */
  hasStarted = false;

  cancelled = false;

  /** The final state, once it is decided; it may not be stored yet. */
  final: 'completed' | 'failed' | undefined;

  /**
   * @param options - the job and what is known of it
   */
  constructor(private readonly options: OwnedJobOptions) {
    this.accepted = options.accepted;
    this.revision = options.revision;
    this.queue = options.queue;
    this.acceptedMs = options.acceptedMs;
    this.knownSinceMs = options.knownSinceMs;
    this.hasStarted = options.progress !== undefined;
    const { delegation } = options;
    if (delegation) {
      this.addOccurrence(delegation.occurrence);
      return;
    }
    const count = Math.max(1, options.accepted.job.repeatCount);
    for (let index = 0; index < count; index += 1) this.addOccurrence(index);
  }

  /** @returns the job's id */
  get id(): string {
    return this.accepted.id;
  }

  /** @returns what its home has handed to this share; undefined for a job of this share */
  get delegation(): Delegation | undefined {
    return this.options.delegation;
  }

  /** @returns true if another share is its home */
  get isGuest(): boolean {
    return this.options.delegation !== undefined;
  }

  /** @returns true if tasks of the job may be started */
  get isOpen(): boolean {
    return !this.cancelled && this.final === undefined;
  }

  /** @returns true once every task of every occurrence is done */
  get isDone(): boolean {
    if (this.isGuest) return false;
    return [...this.occurrences.values()].every(({ steps }) =>
      steps.every(({ spec, doneCount }) => !spec.longRunning && doneCount === spec.count),
    );
  }

  /**
   * Finds a task by its id.
   *
   * @param taskId - the task
   * @returns the task, or undefined if the job has none of that id
   */
  findTask(taskId: string): OwnedTask | undefined {
    const [, occurrence, step, index] = taskId.split('.');
    return this.occurrences.get(Number(occurrence))?.steps[Number(step)]?.tasks[Number(index)];
  }

  /** @returns true if a run of the job may be in progress */
  get hasRuns(): boolean {
    return [...this.occurrences.values()].some(({ steps }) =>
      steps.some(({ tasks }) => tasks.some(({ runs }) => runs.length > 0)),
    );
  }

  /** @returns every run of the job that may be in progress */
  activeRuns(): readonly OwnedRun[] {
    return [...this.occurrences.values()].flatMap(({ steps }) =>
      steps.flatMap(({ tasks }) => tasks.flatMap(({ runs }) => runs)),
    );
  }

  private addOccurrence(index: number): void {
    const { accepted, progress } = this.options;
    const { repeatCount, startAtMs, intervalMs, steps } = accepted.job;
    const occurrence: OwnedOccurrence = {
      job: this,
      index,
      dueAtMs: repeatCount > 0 ? startAtMs + index * intervalMs : 0,
      steps: [],
    };
    const storedSteps = progress?.get(index);
    steps.forEach((spec, stepIndex) =>
      occurrence.steps.push(this.makeStep(occurrence, spec, stepIndex, storedSteps)),
    );
    this.occurrences.set(index, occurrence);
  }

  private makeStep(
    occurrence: OwnedOccurrence,
    spec: StepSpec,
    stepIndex: number,
    storedSteps: readonly StepProgress[] | undefined,
  ): OwnedStep {
    const progress = storedSteps?.[stepIndex];
    const step: OwnedStep = {
      id: stepIdOf(this.id, occurrence.index, stepIndex),
      occurrence,
      index: stepIndex,
      spec,
      tasks: [],
      doneCount: progress?.done.size ?? 0,
      completedRunRates: [],
      unplacedSinceMs: undefined,
    };
    const { delegation } = this.options;
    // Nothing of other steps is here.
    if (delegation && delegation.step !== stepIndex) return step;
    const delegatedTasks = new Map(delegation?.tasks.map((task) => [task.index, task]));
    for (let index = 0; index < spec.count; index += 1) {
      const failedRuns = progress?.failedRuns.get(index) ?? [];
      const task = delegatedTasks.get(index);
      step.tasks.push({
        step,
        index,
        id: taskIdOf(this.id, occurrence.index, stepIndex, index),
        done: progress?.done.has(index) ?? false,
        failedRuns: [...failedRuns],
        nextRun: Math.max(
          this.options.firstRun,
          task?.nextRun ?? 0,
          ...failedRuns.map((run) => run + 1),
        ),
        checkpoint: task?.checkpoint ?? '',
        runs: [],
        notBeforeMs: 0,
        failedWorkerIds: new Set(),
        isElsewhere: this.isGuest && !task,
      });
    }
    return step;
  }
}

/**
 * Tells whether a task is neither done nor in progress, and this share has it.
 *
 * @param task - the task
 * @returns true if it may have to be started here
 */
export const isTaskWaiting = ({ done, runs, isElsewhere }: OwnedTask): boolean =>
  !done && !isElsewhere && runs.length === 0;

/**
 * Tells whether all steps that a step comes after are done; the home of a guest has seen to that.
 *
 * @param step - the step
 * @returns true if its tasks may start as far as order goes
 */
export const isStepReady = ({ spec, occurrence }: OwnedStep): boolean =>
  occurrence.job.isGuest ||
  spec.after.every((predecessor) => {
    const step = occurrence.steps[predecessor];
    return step !== undefined && step.doneCount === step.spec.count;
  });

/**
 * Tells whether some task of a step is neither done nor in progress, and this share has it.
 *
 * @param step - the step
 * @returns true if one may have to be started
 */
export const hasWaitingTasks = ({ spec, doneCount, tasks }: OwnedStep): boolean =>
  (doneCount < spec.count || spec.longRunning) && tasks.some(isTaskWaiting);

/**
 * Tells which room each task of a step takes: a filler takes no processors.
 *
 * @param spec - the step
 * @returns the room
 */
export const reservedSizeOfStep = ({ size, filler }: StepSpec): Size =>
  filler ? { ...size, milliCores: 0 } : size;

/**
 * Tells which room a task takes.
 *
 * @param task - the task
 * @returns the room
 */
export const reservedSizeOf = ({ step }: OwnedTask): Size => reservedSizeOfStep(step.spec);
