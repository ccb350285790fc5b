/**
 * The worker on which each long-running task may be (its place), as stored for successors.
 *
 * A successor need not wait for any other worker before it starts the task again. A place in the store
 * says that no owner has ordered a start of the task on another worker since; without one the task may
 * be anywhere. So a place is stored in one of two ways: after the start, if the store names none, or
 * before the order of a start elsewhere. It is never taken back, only replaced: once the run is over, by
 * the place of a task that runs nowhere.
 */
import { partLog } from '../../observability/log.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';
import { settleInTime } from '../../time/settleInTime.js';

import { keepsPlace, type OwnedRun, type OwnedTask } from '../model/ownedJob.js';
import type { JobRegistry } from '../store/jobRegistry.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import type { WorkerFleet } from '../workers/workerFleet.js';

/**
 * Time within which a place has to be stored, in milliseconds. After that the worker that was chosen may
 * no longer be the right one.
 */
const STORE_TIMEOUT_MS = 600;

/** Place of a task whose run is over, and of which no start has been ordered since. */
const NOWHERE = '';

/** Keeps the places of the long-running tasks of an owner. */
export class TaskPlaces {
  private readonly log = partLog('places');

  /**
   * Tasks for which the store may still name another worker, each with the result of storing its newest
   * place.
   */
  private readonly unsettled = new WeakMap<OwnedTask, Promise<boolean>>();

  /**
   * @param book - stores the progress of jobs
   * @param fleet - the workers
   * @param clock - time
   */
  constructor(
    private readonly book: JobRegistry,
    private readonly fleet: WorkerFleet,
    private readonly clock: Clock,
  ) {}

  /**
   * Checks whether a task cannot run on a worker of a former owner that has not reported its runs yet.
   *
   * @param task - the task
   * @returns true if its place is known and the worker is accounted for
   */
  isAccountedFor(task: OwnedTask): boolean {
    const { place } = task;
    return place !== undefined && keepsPlace(task) && this.fleet.isAccountedFor(place);
  }

  /**
   * Makes a worker the place of a task that is about to be started there.
   *
   * @param task - the task, which has no run
   * @param agent - the worker
   * @returns resolves to true once the start may be ordered, to false if it must not be; undefined if it
   *   may be ordered at once
   */
  claim(task: OwnedTask, { id }: WorkerAgent): Promise<boolean> | undefined {
    const { place } = task;
    if (place === undefined || !keepsPlace(task)) return undefined;
    if (place === id) {
      // A new write would take the place of the pending one, and wait for as long again.
      const whenStored = this.unsettled.get(task);
      return whenStored && this.waitFor(task, whenStored);
    }
    const owned = task;
    owned.place = id;
    return this.store(task);
  }

  /**
   * Notes that a worker has begun a run or reports it.
   *
   * @param run - the run
   */
  noteRun(run: OwnedRun): void {
    const { task, agent } = run;
    const { place } = task;
    if (place === agent.id || !keepsPlace(task) || !this.isOnlyRun(run)) return;
    task.place = agent.id;
    if (place === undefined) {
      // Without a place a successor waits for all workers before it starts the task again.
      this.book.saveProgress(task.step.occurrence.job, { overtakes: true });
      return;
    }
    this.log.warn('A task runs elsewhere than at its place', {
      taskId: task.id,
      run: run.run,
      worker: agent.id,
      place,
    });
    this.store(task).catch((error: unknown) => {
      this.log.error('Storing a place failed', { taskId: task.id, reason: String(error) });
    });
  }

  /**
   * Notes that a run is over.
   *
   * @param run - the run, which is not tracked any more
   */
  noteEnd({ task, agent }: OwnedRun): void {
    if (task.place !== agent.id || task.runs.length > 0) return;
    // The place of a start that was not ordered yet stays, so that the next one need not wait anew.
    if (this.unsettled.has(task)) return;
    const owned = task;
    owned.place = NOWHERE;
    this.book.saveProgress(task.step.occurrence.job);
  }

  /**
   * Tells whether a task cannot be anywhere else than in a run, and a successor will wait for the worker of
   * the run.
   */
  private isOnlyRun({ task, agent: { id }, run }: OwnedRun): boolean {
    const agent = this.fleet.find(id);
    const isTracked = task.runs.some((each) => each.agent === agent && each.run === run);
    if (!agent || !isTracked || !this.fleet.isRostered(agent)) return false;
    const { job } = task.step.occurrence;
    return !job.isInherited || !this.fleet.hasUnreportedWorkers || task.place !== undefined;
  }

  /** Stores the place of a task; resolves to false if that takes too long. */
  private store(task: OwnedTask): Promise<boolean> {
    const whenStored = this.book.storeProgress(task.step.occurrence.job).then((isStored) => {
      if (isStored && this.unsettled.get(task) === whenStored) this.unsettled.delete(task);
      return isStored;
    });
    this.unsettled.set(task, whenStored);
    return this.waitFor(task, whenStored);
  }

  private async waitFor(task: OwnedTask, whenStored: Promise<boolean>): Promise<boolean> {
    const sentMs = this.clock.monotonicMs();
    const call = callWithin(this.clock, STORE_TIMEOUT_MS);
    const isStored = (await settleInTime(this.clock, call, whenStored)) ?? false;
    if (!isStored)
      this.log.warn('The place of a task was not stored', {
        taskId: task.id,
        afterMs: Math.round(this.clock.monotonicMs() - sentMs),
      });
    return isStored;
  }
}
