/**
 * In-memory state of a job at its owner: occurrences, steps, tasks and their runs.
 *
 * Only open occurrences have objects: one that is not due yet is its index, one that is done a member of a set
 * of ranges. So the memory of a schedule depends on what is due and open, not on how often it repeats.
 */
import type { Size } from '../../infrastructure/worker.js';

import type { Delegation } from './delegation.js';
import { IndexRanges } from './indexRanges.js';
import type { JobProgress, StepProgress } from './jobProgress.js';
import {
  occurrenceCountOf,
  stepIdOf,
  taskIdOf,
  tasksPerOccurrence,
  type AcceptedJob,
  type StepSpec,
} from './jobSpec.js';
import type { Queue } from './siteConfiguration.js';

/** Phase of a run, as far as its owner knows. */
export type RunPhase =
  /** The start command was sent. */
  | 'starting'
  | 'running'
  /** The start command was not answered: the run may be running or may still start. */
  | 'in-doubt'
  | 'stopping';

/** Progress of a run at one moment. */
export interface RunSample {
  readonly percent: number;
  /** Time on the worker's clock, in milliseconds. */
  readonly clockMs: number;
  /** Monotonic time in milliseconds. */
  readonly atMs: number;
}

/** The part of a worker's agent that its runs use. */
export interface RunAgent {
  /** The worker's id. */
  readonly id: string;
  /**
   * Stops a run. Its resources stay reserved until the worker has reported its end.
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
  /** Monotonic time of the start command, or of the report that showed the run, in milliseconds. */
  readonly startedMs: number;
  /**
   * Monotonic time at which the worker answered the start command, in milliseconds; undefined if
   * the owner knows the run only from a report.
   */
  startAnsweredMs: number | undefined;
  /** Monotonic time at which the owner learned that the run had started, in milliseconds. */
  confirmedMs: number | undefined;
  /** Monotonic time at which its stop was ordered, in milliseconds; undefined until then. */
  stopOrderedMs: number | undefined;
  /** Progress, in percent. */
  percent: number;
  /** First progress report at its current pace, base for its speed; undefined until then. */
  firstSample: RunSample | undefined;
  /** Monotonic time of the worker's last report, in milliseconds. */
  reportedMs: number;
  /** Time of that report on the worker's clock, in milliseconds. */
  reportedAtWorkerMs: number;
  /**
   * Monotonic time of the last report with a new percentage or of the last change of pace, in
   * milliseconds.
   */
  progressedMs: number;
  gauge: number;
  /** True once it was reported at work for so long that it does not crash its worker. */
  isProven: boolean;
  /** Processor limit that its worker enforces, in percent of its processors. */
  pace: number;
  /**
   * Monotonic time since which the gauge exceeds the step's target, in milliseconds; undefined if
   * it does not.
   */
  overTargetSinceMs: number | undefined;
}

/** Number of crashed workers from which a task is suspected of crashing them. */
const SUSPICIOUS_CRASHES = 2;

/**
 * Checks whether a task is suspected of crashing the workers that start it.
 *
 * @param task - the task
 * @returns true until one of its runs is proven
 */
export const isSuspect = ({ crashedRuns }: OwnedTask): boolean =>
  crashedRuns.length >= SUSPICIOUS_CRASHES;

/** Initial pace of a run, and progress of a task that is done, in percent. */
export const FULL_PERCENT = 100;

/** A run without checkpoints may be moved while its progress is below this, in percent. */
const EXPENDABLE_PROGRESS_PERCENT = 30;

/**
 * Checks whether the step of a run has a latency target.
 *
 * @param run - the run
 * @returns true if it has one
 */
export const hasLatencyTarget = ({ task }: OwnedRun): boolean => task.step.spec.targetMs > 0;

/**
 * Checks whether a run uses only processor time that other tasks leave unused.
 *
 * @param run - the run
 * @returns true if its step is a filler
 */
export const isFiller = ({ task }: OwnedRun): boolean => task.step.spec.filler;

/**
 * Checks whether little work is lost if a run is stopped and its task starts elsewhere.
 *
 * @param run - the run
 * @returns true if the step writes checkpoints or the run is near its beginning
 */
export const isCheapToRestart = ({ task, percent }: OwnedRun): boolean =>
  task.step.spec.checkpointing || percent < EXPENDABLE_PROGRESS_PERCENT;

/** A task of an owned job. */
export interface OwnedTask {
  readonly step: OwnedStep;
  readonly index: number;
  readonly id: string;
  done: boolean;
  /** Numbers of the runs that failed. */
  failedRuns: number[];
  /** Numbers of the runs under which workers crashed, since a run was proven. */
  crashedRuns: number[];
  /** True once it is not started any more because workers crash under it. */
  isGivenUp: boolean;
  nextRun: number;
  checkpoint: string;
  readonly runs: OwnedRun[];
  /**
   * Id of the worker on which a long-running task may be: no owner has ordered a start of it elsewhere
   * since this was stored. Empty if it is on none, undefined if it may be on any worker.
   */
  place: string | undefined;
  /** Monotonic time before which it is not started again, in milliseconds. */
  notBeforeMs: number;
  /**
   * Monotonic time at which its last run ended or, if only former owners may have run it and have stored no
   * time, at which this owner learned of it, in milliseconds; undefined if it has not run.
   */
  interruptedMs: number | undefined;
  /** True if it is known to have run, here or under former owners. */
  hasRun: boolean;
  /** Ids of the workers on which it failed, or which did not answer its start. */
  failedWorkerIds: ReadonlySet<string>;
  /** Addresses of the workers that crashed under it, as far as this owner knows. */
  crashedAddresses: ReadonlySet<string>;
  /** True if another share holds the task, so that it must not be started here. */
  isElsewhere: boolean;
}

/** A step of an occurrence. */
export interface OwnedStep {
  /** Made of job, occurrence and index: the same in all parts of a job that a share holds. */
  readonly id: string;
  readonly occurrence: OwnedOccurrence;
  readonly index: number;
  readonly spec: StepSpec;
  /** Its tasks in the order of their indexes: all of them or, for a guest, those of the delegation. */
  readonly tasks: OwnedTask[];
  doneCount: number;
  /** Speeds of completed runs, in percent per millisecond. */
  readonly completedRunRates: number[];
  /**
   * Monotonic time since which no worker fits its tasks, in milliseconds; undefined if one does.
   */
  unplacedSinceMs: number | undefined;
}

/** One execution of all steps of a job. */
export interface OwnedOccurrence {
  readonly job: OwnedJob;
  readonly index: number;
  /** When it is due, in Unix milliseconds; 0 for a job without a schedule. */
  readonly dueAtMs: number;
  readonly steps: OwnedStep[];
}

/** Initial state of an owned job. */
export interface OwnedJobOptions {
  readonly accepted: AcceptedJob;
  /** Store revision of its acceptance, or of the delegation. */
  readonly revision: number;
  readonly queue: Queue;
  /** Stored progress; undefined if there is none. */
  readonly progress: JobProgress | undefined;
  /** Smallest number of new runs, greater than any that former owners used. */
  readonly firstRun: number;
  /** Time of its acceptance, converted to this process's monotonic clock, in milliseconds. */
  readonly acceptedMs: number;
  /** Monotonic time at which this owner learned of the job, in milliseconds. */
  readonly knownSinceMs: number;
  /** True if a former owner may have started its tasks. */
  readonly isInherited?: boolean;
  /** The delegation by its home to this share; undefined if this share is its home. */
  readonly delegation?: Delegation;
}

/** Shared by all tasks without a failure: most have none. */
const NONE: ReadonlySet<string> = new Set();

const isStepDone = ({ spec, doneCount }: OwnedStep): boolean =>
  !spec.longRunning && doneCount === spec.count;

/**
 * Finds a task of a step.
 *
 * @param step - the step
 * @param index - index of the task
 * @returns the task, or undefined if it is not here
 */
export const taskAt = ({ tasks }: OwnedStep, index: number): OwnedTask | undefined => {
  let low = 0;
  let high = tasks.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((tasks[middle]?.index ?? 0) < index) low = middle + 1;
    else high = middle;
  }
  return tasks[low]?.index === index ? tasks[low] : undefined;
};

/** A job, or the delegated part of a job whose home is another share (a guest). */
export class OwnedJob {
  /** The open occurrences, by index. */
  readonly occurrences = new Map<number, OwnedOccurrence>();

  /** Indexes of the occurrences of which every task is done. */
  readonly doneOccurrences: IndexRanges;

  /** Number of tasks of each occurrence that this share holds. */
  readonly tasksPerOccurrence: number;

  /** Lowest index of an occurrence that is neither open nor done. */
  private nextIndex = 0;

  private readonly occurrenceCount: number;

  readonly accepted: AcceptedJob;

  readonly revision: number;

  readonly acceptedMs: number;

  readonly knownSinceMs: number;

  /** The queue as in the newest configuration. */
  queue: Queue;

  /**
   * True if no task waits to be started, so that scheduling can skip it until one of its runs ends.
   */
  isFullyStarted = false;

  /** True once any worker has started one of its tasks. */
  hasStarted = false;

  /** True if a former owner has stored the place of one of its tasks. */
  hasStoredPlaces = false;

  cancelled = false;

  /** Number of runs of the job that may be in progress. */
  runCount = 0;

  /** The final state once it is decided, even if it is not stored yet. */
  final: 'completed' | 'failed' | undefined;

  /**
   * @param options - the job and its initial state
   */
  constructor(private readonly options: OwnedJobOptions) {
    this.accepted = options.accepted;
    this.revision = options.revision;
    this.queue = options.queue;
    this.acceptedMs = options.acceptedMs;
    this.knownSinceMs = options.knownSinceMs;
    this.hasStarted = options.progress !== undefined;
    const { delegation, accepted, progress } = options;
    const { job } = accepted;
    this.occurrenceCount = occurrenceCountOf(job);
    this.tasksPerOccurrence = delegation?.tasks.length ?? tasksPerOccurrence(job);
    const stored = [...(progress?.occurrences ?? [])];
    this.doneOccurrences = IndexRanges.fromPairs(progress?.doneOccurrences.toPairs() ?? []);
    this.hasStoredPlaces = stored.some(([, steps]) => steps.some(({ places }) => places.size > 0));
    if (delegation) {
      this.addOccurrence(delegation.occurrence, progress?.occurrences.get(delegation.occurrence));
      return;
    }
    stored.forEach(([index, steps]) => this.restoreOccurrence(index, steps));
    this.skipKnown();
    if (job.repeatCount === 0) this.open(0);
  }

  /** @returns the job's id */
  get id(): string {
    return this.accepted.id;
  }

  /** @returns the delegation by its home to this share; undefined if this share is its home */
  get delegation(): Delegation | undefined {
    return this.options.delegation;
  }

  /** @returns true if a former owner may have started its tasks */
  get isInherited(): boolean {
    return this.options.isInherited ?? false;
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
    return !this.isGuest && this.doneOccurrences.size === this.occurrenceCount;
  }

  /** @returns number of tasks that are held in memory */
  get openTaskCount(): number {
    return this.occurrences.size * this.tasksPerOccurrence;
  }

  /**
   * @returns when the first occurrence is due that is neither open nor done, in Unix milliseconds; infinite if
   *   there is none
   */
  get nextDueAtMs(): number {
    if (this.isGuest || this.nextIndex >= this.occurrenceCount) return Number.POSITIVE_INFINITY;
    return this.dueAtMsOf(this.nextIndex);
  }

  /**
   * Opens an occurrence, so that its tasks can be started.
   *
   * @param index - its index; by default the first one that is neither open nor done
   * @returns the occurrence; undefined if it is done or the job has no such occurrence
   */
  open(index: number = this.nextIndex): OwnedOccurrence | undefined {
    const known = this.occurrences.get(index);
    if (known) return known;
    const exists = Number.isInteger(index) && index >= 0 && index < this.occurrenceCount;
    if (this.isGuest || !exists || this.doneOccurrences.has(index)) return undefined;
    const occurrence = this.addOccurrence(index, undefined);
    this.skipKnown();
    return occurrence;
  }

  /**
   * Closes an occurrence if all its tasks are done.
   *
   * @param occurrence - an open occurrence
   */
  closeIfDone({ index, steps }: OwnedOccurrence): void {
    if (this.isGuest || !steps.every(isStepDone)) return;
    this.occurrences.delete(index);
    this.doneOccurrences.add(index);
  }

  /**
   * Finds a task by its id. Opens its occurrence: another owner, whose clock is ahead, may have started it.
   *
   * @param taskId - the task
   * @returns the task, or undefined if it is not here or its occurrence is done
   */
  findTask(taskId: string): OwnedTask | undefined {
    const [, occurrence, step, index] = taskId.split('.');
    const found = this.open(Number(occurrence))?.steps[Number(step)];
    return found && taskAt(found, Number(index));
  }

  /** @returns true if a run of the job may be in progress */
  get hasRuns(): boolean {
    return this.runCount > 0;
  }

  /** @returns every run of the job that may be in progress */
  activeRuns(): readonly OwnedRun[] {
    return [...this.occurrences.values()].flatMap(({ steps }) =>
      steps.flatMap(({ tasks }) => tasks.flatMap(({ runs }) => runs)),
    );
  }

  private dueAtMsOf(index: number): number {
    const { repeatCount, startAtMs, intervalMs } = this.accepted.job;
    return repeatCount > 0 ? startAtMs + index * intervalMs : 0;
  }

  private skipKnown(): void {
    while (this.occurrences.has(this.nextIndex) || this.doneOccurrences.has(this.nextIndex))
      this.nextIndex += 1;
  }

  private restoreOccurrence(index: number, stored: readonly StepProgress[]): void {
    if (index >= this.occurrenceCount || this.doneOccurrences.has(index)) return;
    this.closeIfDone(this.addOccurrence(index, stored));
  }

  private addOccurrence(
    index: number,
    stored: readonly StepProgress[] | undefined,
  ): OwnedOccurrence {
    const { steps } = this.accepted.job;
    const dueAtMs = this.dueAtMsOf(index);
    const occurrence: OwnedOccurrence = { job: this, index, dueAtMs, steps: [] };
    steps.forEach((spec, stepIndex) =>
      occurrence.steps.push(this.makeStep(occurrence, spec, stepIndex, stored)),
    );
    this.occurrences.set(index, occurrence);
    this.isFullyStarted = false;
    return occurrence;
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
    // A delegation covers tasks of one step, and there may be one for each task of a large job.
    if (delegation && delegation.step !== stepIndex) return step;
    const delegatedTasks = new Map(delegation?.tasks.map((task) => [task.index, task]));
    const indexes = delegation
      ? [...delegatedTasks.keys()].sort((one, other) => one - other)
      : Array.from({ length: spec.count }, (_each, index) => index);
    indexes.forEach((index) => {
      const failedRuns = progress?.failedRuns.get(index) ?? [];
      const crashedRuns = progress?.crashedRuns.get(index) ?? [];
      const task = delegatedTasks.get(index);
      step.tasks.push({
        step,
        index,
        id: taskIdOf(this.id, occurrence.index, stepIndex, index),
        done: progress?.done.has(index) ?? false,
        failedRuns: [...failedRuns],
        crashedRuns: [...crashedRuns],
        isGivenUp: false,
        nextRun: Math.max(
          this.options.firstRun,
          task?.nextRun ?? 0,
          ...[...failedRuns, ...crashedRuns].map((run) => run + 1),
        ),
        checkpoint: task?.checkpoint ?? '',
        runs: [],
        place: progress?.places.get(index),
        notBeforeMs: 0,
        interruptedMs: this.options.isInherited
          ? (progress?.interruptions.get(index) ?? this.options.knownSinceMs)
          : undefined,
        hasRun: progress?.places.has(index) === true || progress?.interruptions.has(index) === true,
        failedWorkerIds: NONE,
        crashedAddresses: NONE,
        isElsewhere: false,
      });
    });
    return step;
  }
}

/**
 * Checks whether this share holds a task that is neither done nor in progress.
 *
 * @param task - the task
 * @returns true if it waits to be started here
 */
export const isTaskWaiting = ({ done, runs, isElsewhere }: OwnedTask): boolean =>
  !done && !isElsewhere && runs.length === 0;

/**
 * Checks whether the worker on which a task may be is stored.
 *
 * @param task - the task
 * @returns true if the task is long-running and never runs with others or in several copies; false for
 *   guests, whose progress is not stored here
 */
export const keepsPlace = ({ step: { spec, occurrence } }: OwnedTask): boolean =>
  spec.longRunning && !spec.gang && !spec.speculative && !occurrence.job.isGuest;

/**
 * Checks whether all predecessors of a step are done. For a guest, its home checked that before
 * delegating.
 *
 * @param step - the step
 * @returns true if no predecessor keeps its tasks from starting
 */
export const isStepReady = ({ spec, occurrence }: OwnedStep): boolean =>
  occurrence.job.isGuest ||
  spec.after.every((predecessor) => {
    const step = occurrence.steps[predecessor];
    return step !== undefined && step.doneCount === step.spec.count;
  });

/**
 * Checks whether some task of a step waits to be started here.
 *
 * @param step - the step
 * @returns true if there is one
 */
export const hasWaitingTasks = ({ spec, doneCount, tasks }: OwnedStep): boolean =>
  (doneCount < spec.count || spec.longRunning) && tasks.some(isTaskWaiting);

/**
 * Returns the resources that are reserved for each task of a step: no processors for a filler.
 *
 * @param spec - the step
 * @returns the reserved size
 */
export const reservedSizeOfStep = ({ size, filler }: StepSpec): Size =>
  filler ? { ...size, milliCores: 0 } : size;

/**
 * Returns the resources that are reserved for a task.
 *
 * @param task - the task
 * @returns the reserved size
 */
export const reservedSizeOf = ({ step }: OwnedTask): Size => reservedSizeOfStep(step.spec);
