/**
 * Trials of tasks that are suspected of crashing workers, as stored for successors.
 *
 * A crash is noticed once the worker, or another one at its address, answers again. An owner that is lost
 * before leaves the trial to its successor, which learns from the worker how it has ended.
 */
import { isSuspect, type OwnedJob, type OwnedTask } from '../model/ownedJob.js';
import type { JobRegistry } from '../store/jobRegistry.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import type { WorkerFleet } from '../workers/workerFleet.js';
import type { TaskOutcomes } from './taskOutcomes.js';

/** A run of a task. */
interface TaskRun {
  readonly task: OwnedTask;
  /** Number of the run. */
  readonly run: number;
}

/** Keeps the trials of an owner that have not ended, and settles those of former owners. */
export class OpenTrials {
  /** Tasks of which a former owner has left a trial, as far as its outcome is not known. */
  private inherited: readonly OwnedTask[] = [];

  /**
   * @param book - stores the progress of jobs
   * @param outcomes - counts crashes
   * @param fleet - the workers
   */
  constructor(
    private readonly book: JobRegistry,
    private readonly outcomes: TaskOutcomes,
    private readonly fleet: WorkerFleet,
  ) {}

  /**
   * Begins a term with the trials of former owners.
   *
   * @param jobs - the jobs with their stored progress
   */
  beginTerm(jobs: readonly OwnedJob[]): void {
    this.inherited = jobs
      .flatMap(({ occurrences }) => [...occurrences.values()])
      .flatMap(({ steps }) => steps.flatMap(({ tasks }) => tasks))
      .filter(({ trial }) => trial !== undefined);
  }

  /**
   * Notes that a task is about to be started. A trial is stored at once.
   *
   * @param task - the task
   * @param run - number of the run
   * @param agent - the worker, which does not have the run yet
   */
  noteStart(task: OwnedTask, run: number, agent: WorkerAgent): void {
    const { job } = task.step.occurrence;
    // The progress of guests is stored by their homes.
    if (!isSuspect(task) || job.isGuest || agent.bornMs === undefined) return;
    const owned = task;
    this.inherited = this.inherited.filter((each) => each !== task);
    const isAlone = agent.unprovenRunCount === 0;
    owned.trial = { run, worker: agent.id, bornMs: agent.bornMs, isAlone };
    this.book.saveProgress(job, true);
  }

  /**
   * Notes that a run is over, or is no trial any more.
   *
   * @param run - the run
   */
  noteEnd({ task, run }: TaskRun): void {
    if (task.trial?.run !== run) return;
    const owned = task;
    owned.trial = undefined;
    this.book.saveProgress(task.step.occurrence.job);
  }

  /**
   * Settles the trials that former owners have left on a worker.
   *
   * @param agent - the worker's agent
   * @param isGone - true if another worker answers at its address, false if it has reported all its runs and
   *   ends
   */
  settle({ id, bornMs = 0, description: { address } }: WorkerAgent, isGone: boolean): void {
    const tasks = this.inherited.filter(({ trial }) => trial?.worker === id);
    if (tasks.length === 0) return;
    this.inherited = this.inherited.filter((task) => !tasks.includes(task));
    tasks.forEach((task) => {
      const { trial, runs } = task;
      if (!trial || runs.some(({ run }) => run === trial.run)) return;
      const isOver = isGone || bornMs > trial.bornMs;
      // A worker that drains ends its runs when it leaves.
      if (isOver && !this.fleet.wasDraining(id))
        this.outcomes.recordCrash({ task, ...trial }, address, trial.isAlone);
      this.noteEnd({ task, run: trial.run });
    });
  }
}
