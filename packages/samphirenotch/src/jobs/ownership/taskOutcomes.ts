/**
 * Effects that ends and failures of tasks have on their jobs.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import { isSuspect, type OwnedJob, type OwnedTask } from '../model/ownedJob.js';
import type { JobRegistry } from '../store/jobRegistry.js';

/** Counts failed attempts; the members of a gang fail together, so a run counts once for all. */
const countFailures = ({ step, failedRuns }: OwnedTask): number => {
  if (!step.spec.gang) return failedRuns.length;
  return new Set(step.tasks.flatMap((task) => task.failedRuns)).size;
};

/** Number of crashed workers after which a task is given up if its last run was tried alone. */
const MAXIMUM_CRASHES_ALONE = 3;

/** Number of crashed workers after which a task is given up whatever ran beside it. */
const MAXIMUM_CRASHES = 4;

/** A run under which a worker has crashed. */
interface CrashedRun {
  readonly task: OwnedTask;
  /** Number of the run. */
  readonly run: number;
  /** Id of the worker. */
  readonly worker: string;
}

/** Records outcomes of tasks, and completes, fails or cancels their jobs. */
export class TaskOutcomes {
  private readonly log = partLog('owner');

  /**
   * @param book - the open jobs
   * @param clock - source of time
   * @param viewAgeMs - returns the age of this entry's view of the jobs, in milliseconds
   */
  constructor(
    private readonly book: JobRegistry,
    private readonly clock: Clock,
    private readonly viewAgeMs: () => number,
  ) {}

  /**
   * Records that a task is done; completes the job with its last task.
   *
   * @param task - the task
   */
  markDone(task: OwnedTask): void {
    if (task.done) return;
    const { step } = task;
    const { job } = step.occurrence;
    if (step.spec.longRunning) return;
    // A gang ends as a whole: the end of one member counts for all.
    const finished = step.spec.gang ? step.tasks.filter(({ done }) => !done) : [task];
    finished.forEach((each) => {
      const owned = each;
      owned.done = true;
      step.doneCount += 1;
    });
    task.runs.forEach((run) => run.agent.stop(run, 'another copy is done'));
    job.isFullyStarted = false;
    job.closeIfDone(step.occurrence);
    this.book.saveProgress(job);
    if (job.isDone && job.isOpen) this.book.finish(job, 'completed');
  }

  /**
   * Records that a run of a task has failed.
   *
   * @param task - the task
   * @param workerId - id of the worker of the run
   * @param run - number of the run
   */
  recordFailure(task: OwnedTask, workerId: string, run: number): void {
    if (task.done || task.failedRuns.includes(run)) return;
    const owned = task;
    owned.failedRuns.push(run);
    owned.failedWorkerIds = new Set([...task.failedWorkerIds, workerId]);
    this.failJobIfExhausted(task);
  }

  /**
   * Records that a worker crashed under a run. Gives the task up once it must have been the cause.
   *
   * @param crashed - the run
   * @param address - address of the worker
   * @param wasAlone - true if no other run on the worker can have been the cause
   */
  recordCrash({ task, run, worker }: CrashedRun, address: string, wasAlone: boolean): void {
    const { job } = task.step.occurrence;
    if (task.done || !job.isOpen || task.isElsewhere || task.crashedRuns.includes(run)) return;
    const owned = task;
    owned.crashedRuns.push(run);
    owned.crashedAddresses = new Set([...task.crashedAddresses, address]);
    const crashes = task.crashedRuns.length;
    this.log.warn('A worker has crashed under a run', {
      taskId: task.id,
      run,
      worker,
      crashes,
      wasAlone,
      isSuspect: isSuspect(task),
    });
    this.book.saveProgress(job, { isUrgent: true });
    if (crashes >= (wasAlone ? MAXIMUM_CRASHES_ALONE : MAXIMUM_CRASHES)) this.giveUp(task);
  }

  /**
   * Forgets the crashes of workers under a task that has shown that it does not cause them.
   *
   * @param task - the task
   */
  clearCrashes(task: OwnedTask): void {
    if (task.crashedRuns.length === 0) return;
    const owned = task;
    this.log.info('A task has run for long enough after crashes of its workers', {
      taskId: task.id,
      crashes: task.crashedRuns.length,
    });
    owned.crashedRuns = [];
    owned.crashedAddresses = new Set();
    this.book.saveProgress(task.step.occurrence.job);
  }

  /**
   * Gives up a task that crashes its workers: its job fails, or its home share hears of it.
   *
   * @param task - the task
   */
  giveUp(task: OwnedTask): void {
    const { step, crashedRuns } = task;
    const { job } = step.occurrence;
    if (!job.isOpen) return;
    const owned = task;
    owned.isGivenUp = true;
    this.log.warn('A task is given up: workers crash under it', {
      jobId: job.id,
      taskId: task.id,
      crashes: crashedRuns.length,
      runs: crashedRuns.join(' '),
      addresses: [...task.crashedAddresses].join(' '),
      isGuest: job.isGuest,
    });
    this.fail(task);
  }

  /**
   * Fails the job of a task that has used up its attempts.
   *
   * @param task - the task
   */
  failJobIfExhausted(task: OwnedTask): void {
    const { step } = task;
    const { job } = step.occurrence;
    if (step.spec.longRunning) return;
    if (!job.isOpen) return;
    this.book.saveProgress(job);
    const attempts = countFailures(task);
    if (attempts < job.queue.maximumAttempts) return;
    this.log.warn('A job has failed', {
      jobId: job.id,
      taskId: task.id,
      attempts,
      isGuest: job.isGuest,
    });
    this.fail(task);
  }

  /**
   * Fails a job whose former owner stored the last failure but not the end of the job.
   *
   * @param job - the job as restored by the takeover
   */
  failRestoredIfExhausted(job: OwnedJob): void {
    const failed = [...job.occurrences.values()].flatMap(({ steps }) =>
      steps.flatMap(({ tasks }) =>
        tasks.filter(
          ({ done, failedRuns, crashedRuns }) =>
            !done && failedRuns.length + crashedRuns.length > 0,
        ),
      ),
    );
    failed.forEach((task) => {
      if (task.failedRuns.length > 0) this.failJobIfExhausted(task);
      if (task.crashedRuns.length >= MAXIMUM_CRASHES) this.giveUp(task);
    });
  }

  /**
   * Stops and forgets all parts of a cancelled job in this share.
   *
   * @param jobId - id of the job
   * @param requestedAtMs - time at the entry that accepted the cancellation, in Unix milliseconds
   */
  cancel(jobId: string, requestedAtMs?: number): void {
    this.book.findAll(jobId).forEach((job) => {
      if (job.cancelled) return;
      const owned = job;
      owned.cancelled = true;
      this.log.info('A job is cancelled', {
        jobId,
        runs: job.activeRuns().length,
        // Only approximate: the wall clocks of entries differ a little.
        afterMs: requestedAtMs && Math.round(this.clock.wallMs() - requestedAtMs),
        viewAgeMs: Math.round(this.viewAgeMs()),
      });
      this.stopRuns(job, 'the job is cancelled');
      this.book.removeCancelled(job);
    });
  }

  private fail(task: OwnedTask): void {
    const { step } = task;
    const { job } = step.occurrence;
    if (job.isGuest) {
      // The home share decides about the job, so the tasks only go back as failed.
      const failed = step.spec.gang ? step.tasks : [task];
      failed.forEach((each) => {
        const owned = each;
        owned.isElsewhere = true;
        each.runs.forEach((run) => run.agent.stop(run, 'the task has failed'));
      });
      this.book.saveProgress(job);
      return;
    }
    this.book.finish(job, 'failed');
    this.stopRuns(job, 'the job has failed');
  }

  /**
   * Stops all active runs of a job.
   *
   * @param job - the job
   * @param reason - reason for the stop, for the log
   */
  stopRuns(job: OwnedJob, reason: string): void {
    job.activeRuns().forEach((run) => run.agent.stop(run, reason));
  }
}
