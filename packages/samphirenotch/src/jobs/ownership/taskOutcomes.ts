/**
 * What the ends of tasks mean for their jobs.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedJob, OwnedTask } from '../model/ownedJob.js';
import type { JobRegistry } from '../store/jobRegistry.js';

/** Failed runs of a gang count once for all members. */
const countFailures = ({ step, failedRuns }: OwnedTask): number => {
  if (!step.spec.gang) return failedRuns.length;
  return new Set(step.tasks.flatMap((task) => task.failedRuns)).size;
};

/** Ends tasks, and jobs with them. */
export class TaskOutcomes {
  private readonly log = partLog('owner');

  /**
   * @param book - the jobs
   * @param clock - time
   * @param viewAgeMs - tells how old the newest news of jobs is, in milliseconds
   */
  constructor(
    private readonly book: JobRegistry,
    private readonly clock: Clock,
    private readonly viewAgeMs: () => number,
  ) {}

  /**
   * Takes note that a task is done.
   *
   * @param task - the task
   */
  markDone(task: OwnedTask): void {
    if (task.done) return;
    const { step } = task;
    const { job } = step.occurrence;
    if (step.spec.longRunning) return;
    // One end of a gang stands for all its members.
    const finished = step.spec.gang ? step.tasks.filter(({ done }) => !done) : [task];
    finished.forEach((each) => {
      const owned = each;
      owned.done = true;
      step.doneCount += 1;
    });
    task.runs.forEach((run) => run.agent.stop(run, 'another copy is done'));
    job.isFullyStarted = false;
    this.book.saveProgress(job);
    if (job.isDone && job.isOpen) this.book.finish(job, 'completed');
  }

  /**
   * Takes note that a run of a task has failed.
   *
   * @param task - the task
   * @param workerId - the worker
   * @param run - number of the run
   */
  recordFailure(task: OwnedTask, workerId: string, run: number): void {
    if (task.done || task.failedRuns.includes(run)) return;
    task.failedRuns.push(run);
    task.failedWorkerIds.add(workerId);
    this.failJobIfExhausted(task);
  }

  /**
   * Ends the job of a task that has failed too often.
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
    if (job.isGuest) {
      // Its home decides about the job.
      const failed = step.spec.gang ? step.tasks : [task];
      failed.forEach((each) => {
        const owned = each;
        owned.isElsewhere = true;
      });
      return;
    }
    this.book.finish(job, 'failed');
    this.stopRuns(job, 'the job has failed');
  }

  /**
   * Ends a job whose last failure was stored, and its end was not.
   *
   * @param job - the job, as a term begins with it
   */
  failRestoredIfExhausted(job: OwnedJob): void {
    const failed = [...job.occurrences.values()].flatMap(({ steps }) =>
      steps.flatMap(({ tasks }) =>
        tasks.filter(({ done, failedRuns }) => !done && failedRuns.length > 0),
      ),
    );
    failed.forEach((task) => this.failJobIfExhausted(task));
  }

  /**
   * Ends what there is of a cancelled job.
   *
   * @param jobId - the job
   * @param requestedAtMs - wall clock of the entry that took the cancellation, in Unix milliseconds
   */
  cancel(jobId: string, requestedAtMs?: number): void {
    this.book.findAll(jobId).forEach((job) => {
      if (job.cancelled) return;
      const owned = job;
      owned.cancelled = true;
      this.log.info('A job is cancelled', {
        jobId,
        runs: job.activeRuns().length,
        // Wall clocks of entries differ a little.
        afterMs: requestedAtMs && Math.round(this.clock.wallMs() - requestedAtMs),
        viewAgeMs: Math.round(this.viewAgeMs()),
      });
      this.stopRuns(job, 'the job is cancelled');
      this.book.removeCancelled(job);
    });
  }

  /**
   * Stops every run of a job.
   *
   * @param job - the job
   * @param reason - for the log
   */
  stopRuns(job: OwnedJob, reason: string): void {
    job.activeRuns().forEach((run) => run.agent.stop(run, reason));
  }
}
