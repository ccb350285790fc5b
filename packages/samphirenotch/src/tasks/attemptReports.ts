/**
 * Takes in what workers report of attempts.
 */
import { partLog } from '../observability/log.js';
import type { AttemptReport } from '../infrastructure/worker.js';
import { detach } from './detach.js';
import { afterAttempt } from './attemptEnd.js';
import { epochOfAttempt, jobOfAttempt } from './jobId.js';
import { isActive, type Attempt, type Job } from './job.js';
import { held, neverStarted, requeued, cancelled, running } from './jobTransitions.js';
import type { AttemptFate } from './attemptFate.js';
import type { StopTarget } from './attemptStopper.js';
import type { PartitionContext } from './taskContext.js';

const log = partLog('task-reports');

/** Applies reports to the jobs of a partition. */
export class AttemptReports {
  private readonly seenAtMs = new Map<string, number>();

  /**
   * @param context - the partition
   * @param stopOrphan - stops an attempt that no record refers to
   */
  constructor(
    private readonly context: PartitionContext,
    private readonly stopOrphan: (shard: string, workerId: string, attemptId: string) => void,
  ) {}

  /**
   * Tells when a report of an attempt last came.
   *
   * @param attempt - the attempt
   * @returns monotonic time in milliseconds, 0 if never by this owner
   */
  lastSeenMs(attempt: Attempt): number {
    return this.seenAtMs.get(attempt.id) ?? 0;
  }

  /**
   * Applies a report.
   *
   * @param shard - shard of the worker
   * @param workerId - the worker
   * @param report - what it says of one attempt
   * @returns true once the end of the attempt is durable, so that the worker may forget it
   */
  async apply(shard: string, workerId: string, report: AttemptReport): Promise<boolean> {
    const job = this.context.jobs.latest.get(jobOfAttempt(report.attemptId));
    if (!job || job.attempt?.id !== report.attemptId) return this.stray(shard, workerId, report);
    this.seenAtMs.set(report.attemptId, this.context.clock.monotonicMs());
    if (report.phase === 'running') {
      this.applyRunning(job, report);
      return false;
    }
    return this.end(job, report);
  }

  /**
   * Applies what a resolution found.
   *
   * @param attempt - the attempt that was asked after
   * @param fate - what became of it
   */
  async settle(attempt: StopTarget, fate: AttemptFate): Promise<void> {
    const { jobs } = this.context;
    const jobId = jobOfAttempt(attempt.id);
    if (fate.kind === 'reported') {
      await this.apply(attempt.shard, attempt.workerId, fate.report);
      return;
    }
    const job = jobs.latest.get(jobId);
    if (!job || job.attempt?.id !== attempt.id || !isActive(job)) return;
    this.seenAtMs.delete(attempt.id);
    await jobs.put(this.afterLoss(job, fate.neverStarted));
  }

  private afterLoss(job: Job, certainlyNeverRan: boolean): Job {
    const { clock, configuration } = this.context;
    const nowMs = clock.wallMs();
    if (job.cancelRequested) return cancelled(job, nowMs);
    if (certainlyNeverRan) return neverStarted(job, nowMs, 'the start did not reach the worker');
    const taskClass = configuration.current()?.taskClasses.get(job.taskClass);
    if (taskClass?.idempotent) return requeued(job, undefined, nowMs);
    const text = `attempt ${job.attempt?.id ?? ''} is gone, and nobody knows what it did`;
    return held(job, text, nowMs);
  }

  private applyRunning(job: Job, report: AttemptReport): void {
    const { jobs, clock } = this.context;
    const known: Job = job.state === 'held' ? { ...job, state: 'starting' } : job;
    const next = running(known, report.checkpoint, clock.wallMs());
    if (next !== job) detach(jobs.put(next));
  }

  private async end(job: Job, report: AttemptReport): Promise<boolean> {
    const { jobs, clock, configuration, recorder } = this.context;
    const taskClass = configuration.current()?.taskClasses.get(job.taskClass);
    const next = afterAttempt(job, taskClass, report, clock.wallMs());
    if (job.state === 'held' && next.state === 'held') return jobs.find(job.id)?.state === 'held';
    this.seenAtMs.delete(report.attemptId);
    recorder.count('task_attempts_ended', { phase: report.phase });
    if (next.state === 'completed') {
      const subject = { taskClass: job.taskClass, tenant: job.tenant };
      recorder.time('total', subject, next.stateSinceMs - job.submittedAtMs);
    }
    return (await jobs.put(next)).ok;
  }

  private stray(shard: string, workerId: string, report: AttemptReport): boolean {
    const { jobs, grant } = this.context;
    if (epochOfAttempt(report.attemptId) > grant.epoch) return false;
    if (report.phase === 'running') {
      log.warn('Attempt runs without a record and is stopped.', { attempt: report.attemptId });
      this.stopOrphan(shard, workerId, report.attemptId);
      return false;
    }
    return jobs.find(jobOfAttempt(report.attemptId))?.attempt?.id !== report.attemptId;
  }
}
