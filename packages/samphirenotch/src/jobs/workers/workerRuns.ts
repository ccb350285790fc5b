/**
 * The runs of one worker and the room that they take.
 */
import type { RunName } from '../../infrastructure/taskWorker.js';
import type { Size } from '../../infrastructure/worker.js';
import type { Clock } from '../../time/clock.js';

import {
  FULL_PERCENT,
  isFiller,
  hasLatencyTarget,
  type OwnedRun,
  type OwnedTask,
  type RunAgent,
} from '../model/ownedJob.js';
import { WorkerResources } from './workerResources.js';

const runKey = ({ taskId, run }: RunName): string => `${taskId}#${run}`;

const nameOf = (run: OwnedRun): RunName => ({ taskId: run.task.id, run: run.run });

/**
 * Notes that a worker has shown or confirmed a run.
 *
 * @param run - the run
 * @param nowMs - monotonic time in milliseconds
 */
export const markConfirmed = (run: OwnedRun, nowMs: number): void => {
  const owned = run;
  owned.confirmedMs = nowMs;
};

/** What may be in progress on a worker. */
export class WorkerRuns {
  private readonly runs = new Map<string, OwnedRun>();

  private readonly resources = new WorkerResources();

  private unknownRunCount = 0;

  /** The runs as a list, until one comes or goes: decisions read it far more often. */
  private cachedAll: readonly OwnedRun[] | undefined;

  private cachedServing: readonly OwnedRun[] | undefined;

  private cachedFillers: readonly OwnedRun[] | undefined;

  /**
   * @param clock - time
   */
  constructor(private readonly clock: Clock) {}

  /** @returns all runs that may be in progress */
  all(): readonly OwnedRun[] {
    this.cachedAll ??= [...this.runs.values()];
    return this.cachedAll;
  }

  /** @returns those of them that serve under a target */
  serving(): readonly OwnedRun[] {
    this.cachedServing ??= this.all().filter(hasLatencyTarget);
    return this.cachedServing;
  }

  /** @returns those of them that fill */
  fillers(): readonly OwnedRun[] {
    this.cachedFillers ??= this.all().filter(isFiller);
    return this.cachedFillers;
  }

  /** @returns how many runs may be in progress */
  get count(): number {
    return this.runs.size;
  }

  /** @returns how many runs are being stopped because no open task has them */
  get unknownCount(): number {
    return this.unknownRunCount;
  }

  /**
   * Finds a run.
   *
   * @param name - task and number
   * @returns the run, or undefined if it is not counted here
   */
  find(name: RunName): OwnedRun | undefined {
    return this.runs.get(runKey(name));
  }

  /**
   * Tells whether a run is still counted.
   *
   * @param run - the run
   * @returns true until it is dropped
   */
  has(run: OwnedRun): boolean {
    return this.runs.get(runKey(nameOf(run))) === run;
  }

  /**
   * Counts a run and takes its room.
   *
   * @param agent - the worker's agent
   * @param task - its task
   * @param runNumber - its number
   * @param size - room that it takes
   * @param phase - where it stands
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
      percent: 0,
      firstSample: undefined,
      reportedMs: startedMs,
      reportedAtWorkerMs: 0,
      progressedMs: startedMs,
      gauge: 0,
      pace: FULL_PERCENT,
      overTargetSinceMs: undefined,
    };
    this.runs.set(runKey(nameOf(owned)), owned);
    this.clearCaches();
    task.runs.push(owned);
    this.resources.reserve(size);
    return owned;
  }

  /**
   * Ends the account of a run.
   *
   * @param run - the run
   * @returns false if it was not counted any more
   */
  drop(run: OwnedRun): boolean {
    if (!this.has(run)) return false;
    this.runs.delete(runKey(nameOf(run)));
    this.clearCaches();
    this.resources.release(run.size);
    const at = run.task.runs.indexOf(run);
    if (at >= 0) run.task.runs.splice(at, 1);
    return true;
  }

  /**
   * Sets the room of runs that no open task has.
   *
   * @param sizes - one size a run
   */
  setUnknownRuns(sizes: readonly Size[]): void {
    this.unknownRunCount = sizes.length;
    this.resources.setUnknownRuns(sizes);
  }

  /**
   * Tells what is left.
   *
   * @param capacity - what the worker holds
   * @returns the room
   */
  free(capacity: Size): Size {
    return this.resources.free(capacity);
  }

  /**
   * Tells whether a run fits.
   *
   * @param capacity - what the worker holds
   * @param size - what the run asks for
   * @returns true if the room that is left holds it
   */
  fits(capacity: Size, size: Size): boolean {
    return this.resources.fits(capacity, size);
  }

  private clearCaches(): void {
    this.cachedAll = undefined;
    this.cachedServing = undefined;
    this.cachedFillers = undefined;
  }
}
