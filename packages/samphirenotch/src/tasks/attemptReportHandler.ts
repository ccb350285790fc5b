/**
 * Applies the reports of workers about attempts.
 */
import { partLog } from '../observability/log.js';
import type { AttemptReport } from '../infrastructure/worker.js';
import { detach } from './detach.js';
import { nextJobAfterAttempt } from './attemptEnd.js';
import { epochOfAttempt, jobOfAttempt } from './jobId.js';
import { isActive, type Attempt, type Job } from './job.js';
import {
  markHeld,
  markNeverStarted,
  markRequeued,
  markCancelled,
  markRunning,
} from './jobTransitions.js';
import type { AttemptOutcome } from './attemptOutcome.js';
import type { AttemptLocation } from './attemptStopper.js';
import type { PartitionContext } from './taskContext.js';

const log = partLog('task-reports');

/** Applies reports about attempts to the jobs of a partition. */
export class AttemptReportHandler {
  private readonly reportedAtMs = new Map<string, number>();

  /**
   * @param context - the partition
   * @param stopOrphan - stops an attempt that no job record refers to
   */
  constructor(
    private readonly context: PartitionContext,
    private readonly stopOrphan: (shard: string, workerId: string, attemptId: string) => void,
  ) {}

  /**
   * Returns when this owner last received a report of an attempt.
   *
   * @param attempt - the attempt
   * @returns monotonic time in milliseconds, 0 if this owner has received none
   */
  lastReportedAtMs(attempt: Attempt): number {
    return this.reportedAtMs.get(attempt.id) ?? 0;
  }

  /**
   * Applies a report of one attempt.
   *
   * @param shard - shard of the worker
   * @param workerId - the worker that reports
   * @param report - state of the attempt
   * @returns true once the end of the attempt is durable and the worker may forget the attempt
   */
  async apply(shard: string, workerId: string, report: AttemptReport): Promise<boolean> {
    const job = this.context.jobs.latest.get(jobOfAttempt(report.attemptId));
    if (!job || job.attempt?.id !== report.attemptId)
      return this.handleUnknownAttempt(shard, workerId, report);
    this.reportedAtMs.set(report.attemptId, this.context.clock.monotonicMs());
    if (report.phase === 'running') {
      this.applyRunning(job, report);
      return false;
    }
    return this.applyEnd(job, report);
  }

  /**
   * Applies the confirmed outcome of an attempt.
   *
   * @param attempt - the attempt
   * @param outcome - its confirmed outcome
   */
  async applyOutcome(attempt: AttemptLocation, outcome: AttemptOutcome): Promise<void> {
    const { jobs } = this.context;
    const jobId = jobOfAttempt(attempt.id);
    if (outcome.kind === 'reported') {
      await this.apply(attempt.shard, attempt.workerId, outcome.report);
      return;
    }
    const job = jobs.latest.get(jobId);
    if (!job || job.attempt?.id !== attempt.id || !isActive(job)) return;
    this.reportedAtMs.delete(attempt.id);
    await jobs.put(this.nextJobAfterLoss(job, outcome.neverStarted));
  }

  private nextJobAfterLoss(job: Job, neverRan: boolean): Job {
    const { clock, configuration } = this.context;
    const nowMs = clock.wallMs();
    if (job.cancelRequested) return markCancelled(job, nowMs);
    if (neverRan) return markNeverStarted(job, nowMs, 'the start did not reach the worker');
    const taskClass = configuration.current()?.taskClasses.get(job.taskClass);
    if (taskClass?.idempotent) return markRequeued(job, undefined, nowMs);
    const text = `attempt ${job.attempt?.id ?? ''} is gone, and nobody knows what it did`;
    return markHeld(job, text, nowMs);
  }

  private applyRunning(job: Job, report: AttemptReport): void {
    const { jobs, clock } = this.context;
    const known: Job = job.state === 'held' ? { ...job, state: 'starting' } : job;
    const next = markRunning(known, report.checkpoint, clock.wallMs());
    if (next !== job) detach(jobs.put(next));
  }

  private async applyEnd(job: Job, report: AttemptReport): Promise<boolean> {
    const { jobs, clock, configuration, recorder } = this.context;
    const taskClass = configuration.current()?.taskClasses.get(job.taskClass);
    const next = nextJobAfterAttempt(job, taskClass, report, clock.wallMs());
    if (job.state === 'held' && next.state === 'held')
      return jobs.findDurable(job.id)?.state === 'held';
    this.reportedAtMs.delete(report.attemptId);
    recorder.count('task_attempts_ended', { phase: report.phase });
    if (next.state === 'completed') {
      const subject = { taskClass: job.taskClass, tenant: job.tenant };
      recorder.time('total', subject, next.stateSinceMs - job.submittedAtMs);
    }
    return (await jobs.put(next)).ok;
  }

  private handleUnknownAttempt(shard: string, workerId: string, report: AttemptReport): boolean {
    const { jobs, grant } = this.context;
    if (epochOfAttempt(report.attemptId) > grant.epoch) return false;
    if (report.phase === 'running') {
      log.warn('Stopping an attempt that no record refers to.', { attempt: report.attemptId });
      this.stopOrphan(shard, workerId, report.attemptId);
      return false;
    }
    return jobs.findDurable(jobOfAttempt(report.attemptId))?.attempt?.id !== report.attemptId;
  }
}
