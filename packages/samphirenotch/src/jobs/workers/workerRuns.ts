/**
 * The runs of one worker and the resources that they use.
 */
import type { RunName } from '../../infrastructure/taskWorker.js';
import type { Size } from '../../infrastructure/worker.js';
import type { Clock } from '../../time/clock.js';

import {
  FULL_PERCENT,
  isFiller,
  hasLatencyTarget,
  isSuspect,
  type OwnedRun,
  type OwnedTask,
  type RunAgent,
} from '../model/ownedJob.js';
import { WorkerResources } from './workerResources.js';

const runKey = ({ taskId, run }: RunName): string => `${taskId}#${run}`;

const nameOf = (run: OwnedRun): RunName => ({ taskId: run.task.id, run: run.run });

/**
 * Records that a worker has reported or confirmed a run.
 *
 * @param run - the run
 * @param nowMs - monotonic time in milliseconds
 */
export const markConfirmed = (run: OwnedRun, nowMs: number): void => {
  const owned = run;
  owned.confirmedMs = nowMs;
};

/** Tracks all runs that may be in progress on a worker. */
export class WorkerRuns {
  private readonly runs = new Map<string, OwnedRun>();

  private readonly resources = new WorkerResources();

  private unknownRunCount = 0;

  private changeCount = 0;

  /**
   * All runs as a list, cached until one is added or dropped, because decisions read it far more
   * often.
   */
  private cachedAll: readonly OwnedRun[] | undefined;

  private cachedServing: readonly OwnedRun[] | undefined;

  private cachedFillers: readonly OwnedRun[] | undefined;

  private cachedSuspects: readonly OwnedRun[] | undefined;

  /**
   * @param clock - clock of this process
   */
  constructor(private readonly clock: Clock) {}

  /** @returns all runs that may be in progress */
  all(): readonly OwnedRun[] {
    this.cachedAll ??= [...this.runs.values()];
    return this.cachedAll;
  }

  /** @returns the runs among them whose step has a latency target */
  serving(): readonly OwnedRun[] {
    this.cachedServing ??= this.all().filter(hasLatencyTarget);
    return this.cachedServing;
  }

  /** @returns the runs among them that are fillers */
  fillers(): readonly OwnedRun[] {
    this.cachedFillers ??= this.all().filter(isFiller);
    return this.cachedFillers;
  }

  /** @returns true while a task that is suspected of crashing workers is tried */
  get hasTrial(): boolean {
    this.cachedSuspects ??= this.all().filter(({ task }) => isSuspect(task));
    return this.cachedSuspects.some(({ isProven }) => !isProven);
  }

  /** @returns number of changes of the runs and their resources so far */
  get changes(): number {
    return this.changeCount;
  }

  /** @returns number of runs that may be in progress */
  get count(): number {
    return this.runs.size;
  }

  /** @returns number of runs that are being stopped because they belong to no open task */
  get unknownCount(): number {
    return this.unknownRunCount;
  }

  /**
   * Finds a run.
   *
   * @param name - task and number of the run
   * @returns the run, or undefined if it is not tracked here
   */
  find(name: RunName): OwnedRun | undefined {
    return this.runs.get(runKey(name));
  }

  /**
   * Checks whether a run is still tracked.
   *
   * @param run - the run
   * @returns true until it is dropped
   */
  has(run: OwnedRun): boolean {
    return this.runs.get(runKey(nameOf(run))) === run;
  }

  /**
   * Adds a run and reserves its resources.
   *
   * @param agent - the worker's agent
   * @param task - its task
   * @param runNumber - its number
   * @param size - resources that it uses
   * @param phase - phase of the run
   * @returns the run
   */
  add(
    agent: RunAgent,
    task: OwnedTask,
    runNumber: number,
    size: Size,
    phase: OwnedRun['phase'],
  ): OwnedRun {
    const startedMs = this.clock.monotonicMs();
    const owned: OwnedRun = {
      task,
      run: runNumber,
      agent,
      size,
      phase,
      startedMs,
      startAnsweredMs: undefined,
      confirmedMs: phase === 'running' ? startedMs : undefined,
      stopOrderedMs: undefined,
      percent: 0,
      firstSample: undefined,
      reportedMs: startedMs,
      reportedAtWorkerMs: 0,
      progressedMs: startedMs,
      gauge: 0,
      isProven: false,
      pace: FULL_PERCENT,
      overTargetSinceMs: undefined,
    };
    this.runs.set(runKey(nameOf(owned)), owned);
    this.clearCaches();
    task.runs.push(owned);
    const { job } = task.step.occurrence;
    job.runCount += 1;
    this.resources.reserve(size);
    return owned;
  }

  /**
   * Removes a run and releases its resources.
   *
   * @param run - the run
   * @returns false if it was not tracked any more
   */
  drop(run: OwnedRun): boolean {
    if (!this.has(run)) return false;
    this.runs.delete(runKey(nameOf(run)));
    this.clearCaches();
    this.resources.release(run.size);
    const { task } = run;
    const at = task.runs.indexOf(run);
    if (at >= 0) task.runs.splice(at, 1);
    if (run.confirmedMs !== undefined) {
      task.interruptedMs = this.clock.monotonicMs();
      task.hasRun = true;
    }
    const { job } = task.step.occurrence;
    job.runCount -= 1;
    return true;
  }

  /**
   * Keeps resources for a run that is about to start.
   *
   * @param size - the resources
   */
  hold(size: Size): void {
    this.changeCount += 1;
    this.resources.hold(size);
  }

  /**
   * Gives resources up that are kept for a run.
   *
   * @param size - the resources
   */
  unhold(size: Size): void {
    this.changeCount += 1;
    this.resources.unhold(size);
  }

  /**
   * Sets the resources of the runs that belong to no open task.
   *
   * @param sizes - one size per run
   */
  setUnknownRuns(sizes: readonly Size[]): void {
    if (sizes.length > 0 || this.unknownRunCount > 0) this.changeCount += 1;
    this.unknownRunCount = sizes.length;
    this.resources.setUnknownRuns(sizes);
  }

  /**
   * Computes the free resources.
   *
   * @param capacity - capacity of the worker
   * @returns the resources that are neither reserved nor held; negative where there is too little
   */
  free(capacity: Size): Size {
    return this.resources.free(capacity);
  }

  /**
   * Checks whether the runs are within a capacity.
   *
   * @param capacity - capacity of the worker
   * @returns false if they use more than there is
   */
  areWithin(capacity: Size): boolean {
    return this.resources.isWithin(capacity);
  }

  /**
   * Checks whether a run fits into the free resources.
   *
   * @param capacity - capacity of the worker
   * @param size - resources of the run
   * @returns true if it fits
   */
  fits(capacity: Size, size: Size): boolean {
    return this.resources.fits(capacity, size);
  }

  private clearCaches(): void {
    this.changeCount += 1;
    this.cachedAll = undefined;
    this.cachedServing = undefined;
    this.cachedFillers = undefined;
    this.cachedSuspects = undefined;
  }
}
