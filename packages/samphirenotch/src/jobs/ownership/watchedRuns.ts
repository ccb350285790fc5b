/**
 * Runs that may crash their workers, as stored for successors.
 *
 * A crash is noticed once the worker, or another one at its address, answers again. An owner that is lost
 * before leaves the run to its successor, which learns from the worker how it has ended. Most runs crash
 * nothing, so only those are stored for which there is a reason: a worker has crashed under the task before,
 * or one has crashed under a former owner and no owner knows what it ran. No start waits for that.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import { isSuspect, type OwnedJob, type OwnedTask } from '../model/ownedJob.js';
import {
  encodeWatchedRuns,
  type CrashDoubt,
  type WatchedRun,
  type WatchedRunRecord,
} from '../model/watchedRuns.js';
import type { ShareKeys } from '../store/jobKeys.js';
import type { JobRegistry } from '../store/jobRegistry.js';
import type { ProgressJournal } from '../store/progressJournal.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import type { WorkerFleet } from '../workers/workerFleet.js';
import type { TaskOutcomes } from './taskOutcomes.js';

/** Most runs that are stored; the oldest ones, which have nearly shown that they crash nothing, are left out. */
const MAXIMUM_RUNS = 300;

/** Shortest time between two writes for starts, in milliseconds: many tasks are started after a takeover. */
const MIN_INTERVAL_MS = 100;

/**
 * Longest time for which the store may name runs that are over, in milliseconds. Many end soon after each other,
 * and one write covers them.
 */
const MAX_STALE_MS = 1_000;

/** A run of a task. */
interface TaskRun {
  readonly task: OwnedTask;
  /** Number of the run. */
  readonly run: number;
}

/** Settings and collaborators of `WatchedRuns`. */
export interface WatchedRunsOptions {
  /** The open jobs. */
  readonly book: JobRegistry;
  /** Counts crashes. */
  readonly outcomes: TaskOutcomes;
  readonly fleet: WorkerFleet;
  readonly clock: Clock;
  /** Fencing token of the owner. */
  readonly fencingToken: number;
}

/** Keeps the runs of an owner that may crash their workers, and settles those of former owners. */
export class WatchedRuns {
  private readonly log = partLog('owner');

  private journal!: ProgressJournal;

  private key = '';

  /** The newest watched run of each task, by the task's id. */
  private readonly runs = new Map<string, WatchedRun>();

  /** Ids of the tasks whose watched run a former owner has left and whose worker has not answered yet. */
  private readonly inherited = new Set<string>();

  private doubt: CrashDoubt | undefined;

  /** Tasks that have shown in this term that they crash no worker. */
  private readonly provenTasks = new WeakSet<OwnedTask>();

  /** Monotonic time of the last write, in milliseconds. */
  private writtenMs = Number.NEGATIVE_INFINITY;

  /** Monotonic time at which the next write is due, in milliseconds; infinite if nothing has changed. */
  private dueMs = Number.POSITIVE_INFINITY;

  /**
   * @param options - settings and collaborators
   */
  constructor(private readonly options: WatchedRunsOptions) {}

  /**
   * Begins a term with what former owners have left.
   *
   * @param journal - stores the record
   * @param keys - its key
   * @param record - the record of the last owner
   */
  beginTerm(
    journal: ProgressJournal,
    { watchedRuns }: Pick<ShareKeys, 'watchedRuns'>,
    { doubt, runs }: WatchedRunRecord,
  ): void {
    this.journal = journal;
    this.key = watchedRuns;
    runs.forEach((run) => {
      this.runs.set(run.taskId, run);
      this.inherited.add(run.taskId);
    });
    if (!doubt || !this.coversOpenJob(doubt.revision)) return;
    const places = new Set(this.tasksOf(this.options.book.openJobs()).map(({ place }) => place));
    this.doubt = { ...doubt, workers: doubt.workers.filter((id) => places.has(id)) };
  }

  /**
   * Notes that a task is about to be started, and stores the run if it may crash its worker.
   *
   * @param task - the task
   * @param run - number of the run
   * @param agent - the worker, which does not have the run yet
   */
  noteStart(task: OwnedTask, run: number, { id, bornMs, unprovenRunCount }: WorkerAgent): void {
    this.inherited.delete(task.id);
    const wasStored = this.runs.delete(task.id);
    if (bornMs === undefined || !this.mayCrash(task)) {
      if (wasStored) this.markStale();
      return;
    }
    const isTrial = isSuspect(task);
    const isAlone = isTrial && unprovenRunCount === 0;
    this.runs.set(task.id, { taskId: task.id, run, worker: id, bornMs, isAlone });
    if (isTrial) this.write(true);
    else this.writeBy(this.writtenMs + MIN_INTERVAL_MS);
  }

  /**
   * Notes that a run is over. It stays stored until all that is known of its end is.
   *
   * @param run - the run
   */
  noteEnd({ task, run }: TaskRun): void {
    const known = this.runs.get(task.id);
    if (known?.run !== run) return;
    this.inherited.delete(task.id);
    this.journal.waitUntilStored(this.journal.newestSequence()).then(
      (isStored) => {
        if (!isStored || this.runs.get(task.id) !== known) return;
        this.runs.delete(task.id);
        // A suspect is given up for what its worker does while the run is stored.
        if (isSuspect(task)) this.write(false);
        else this.markStale();
      },
      (error: unknown) => {
        this.log.error('A run that is over stays stored', {
          taskId: task.id,
          reason: String(error),
        });
      },
    );
  }

  /**
   * Notes that a run was at work for so long that its task does not crash workers.
   *
   * @param run - the run
   */
  noteProven(run: TaskRun): void {
    this.provenTasks.add(run.task);
    this.noteEnd(run);
  }

  /**
   * Notes that runs which no owner knows may have crashed a worker of a former owner.
   *
   * @param agent - the worker's agent
   */
  noteDoubt({ id }: WorkerAgent): void {
    const { fencingToken } = this.options;
    if (!this.coversOpenJob(fencingToken)) return;
    const workers = this.doubt?.workers ?? [];
    if (workers.includes(id)) return;
    this.log.info('A worker may have crashed under a former owner', { worker: id });
    this.doubt = { revision: fencingToken, workers: [...workers, id] };
    // The next roster no longer shows that the worker has ended, so this must not be stored later.
    this.store(false);
  }

  /**
   * Settles the runs that former owners have left on a worker. Called before the worker is accounted for.
   *
   * @param agent - the worker's agent
   * @param isGone - true if another worker answers at its address, false if it has reported all its runs and
   *   ends
   */
  settle(agent: WorkerAgent, isGone: boolean): void {
    const { book, outcomes, fleet } = this.options;
    const {
      id,
      bornMs = 0,
      description: { address },
    } = agent;
    if (fleet.mayHaveCrashed(agent, isGone)) this.noteDoubt(agent);
    [...this.inherited]
      .flatMap((taskId) => this.runs.get(taskId) ?? [])
      .filter(({ worker }) => worker === id)
      .forEach(({ taskId, run, bornMs: runBornMs, isAlone }) => {
        this.inherited.delete(taskId);
        const task = book.findTask(taskId);
        if (!task || task.runs.some((each) => each.run === run)) return;
        const isOver = isGone || bornMs > runBornMs;
        // A worker that drains ends its runs when it leaves.
        if (isOver && !fleet.wasDraining(id))
          outcomes.recordCrash({ task, run, worker: id }, address, isAlone);
        this.noteEnd({ task, run });
      });
  }

  /** Stores what has changed once that is due. */
  maintain(): void {
    if (this.options.clock.monotonicMs() >= this.dueMs) this.write(false);
  }

  private mayCrash(task: OwnedTask): boolean {
    return task.crashedRuns.length > 0 || this.isDoubtful(task);
  }

  /** Tells whether a task may have crashed a worker under a former owner that no owner has counted. */
  private isDoubtful(task: OwnedTask): boolean {
    const { doubt } = this;
    if (!doubt || task.step.occurrence.job.revision > doubt.revision) return false;
    if (this.provenTasks.has(task)) return false;
    return task.place === undefined || doubt.workers.includes(task.place);
  }

  private coversOpenJob(untilRevision: number): boolean {
    return this.options.book.openJobs().some(({ revision }) => revision <= untilRevision);
  }

  private tasksOf(jobs: readonly OwnedJob[]): readonly OwnedTask[] {
    return jobs.flatMap(({ occurrences }) =>
      [...occurrences.values()].flatMap(({ steps }) => steps.flatMap(({ tasks }) => tasks)),
    );
  }

  private markStale(): void {
    this.writeBy(this.options.clock.monotonicMs() + MAX_STALE_MS);
  }

  private writeBy(dueMs: number): void {
    this.dueMs = Math.min(this.dueMs, dueMs);
    this.maintain();
  }

  private write(isUrgent: boolean): void {
    this.dueMs = Number.POSITIVE_INFINITY;
    this.writtenMs = this.options.clock.monotonicMs();
    this.store(isUrgent);
  }

  private store(isUrgent: boolean): void {
    this.journal.add({ key: this.key, isUrgent, overtakes: true, value: () => this.encode() });
  }

  private encode(): string {
    const { doubt } = this;
    const runs = [...this.runs.values()].filter(({ taskId }) => this.isOpen(taskId));
    return encodeWatchedRuns({
      doubt: doubt && this.coversOpenJob(doubt.revision) ? doubt : undefined,
      runs: runs.slice(-MAXIMUM_RUNS),
    });
  }

  private isOpen(taskId: string): boolean {
    const task = this.options.book.findTask(taskId);
    // The record overtakes the delegation of a task that is elsewhere, and so may be all that shows a crash.
    return task !== undefined && !task.done && task.step.occurrence.job.isOpen;
  }
}
