/**
 * Starts attempts on reserved capacity: first the attempt is made durable as starting, then the
 * start is sent. If its answer is lost, the outcome is resolved before another start of the job.
 */
import { isOut } from '../config/objects.js';
import { partLog } from '../observability/log.js';
import { callWithin } from '../time/call.js';
import type { AttemptOrder } from '../infrastructure/worker.js';
import type { Reservation } from '../shards/shardService.js';
import { TASK_LEASE_MS } from '../shards/taskLease.js';
import { dataCentreOf } from './jobId.js';
import { markCancelled, markStarting, markNeverStarted } from './jobTransitions.js';
import { SHARD_TIMEOUT_MS } from './taskSettings.js';
import type { AttemptReportHandler } from './attemptReportHandler.js';
import type { AttemptResolver } from './attemptResolver.js';
import type { AttemptStopper } from './attemptStopper.js';
import type { Attempt, Job } from './job.js';
import type { RestartPolicies } from './restartPolicies.js';
import type { PartitionContext } from './taskContext.js';

const log = partLog('task-starts');

/** Starts attempts of one partition. */
export class JobStarter {
  private readonly startingJobs = new Set<string>();

  /**
   * @param context - the partition
   * @param reports - applies the answers to starts
   * @param resolver - finds out the outcome of starts without an answer
   * @param stopper - stops attempts of jobs that were cancelled during their start
   * @param policies - knows which classes restart elsewhere after a cut
   */
  constructor(
    private readonly context: PartitionContext,
    private readonly reports: AttemptReportHandler,
    private readonly resolver: AttemptResolver,
    private readonly stopper: AttemptStopper,
    private readonly policies: RestartPolicies,
  ) {}

  /**
   * Returns how many starts are in progress.
   *
   * @returns the number
   */
  startsInProgress(): number {
    return this.startingJobs.size;
  }

  /**
   * Checks whether this owner is starting a job.
   *
   * @param jobId - the job
   * @returns true until the start has been answered or resolved
   */
  isStarting(jobId: string): boolean {
    return this.startingJobs.has(jobId);
  }

  /**
   * Starts an attempt and waits until the start has been answered or resolved.
   *
   * @param job - a queued job
   * @param attemptId - id of the attempt that the capacity was reserved for
   * @param reservation - the reserved capacity
   */
  async start(job: Job, attemptId: string, reservation: Reservation): Promise<void> {
    const { jobs, clock } = this.context;
    const nowMs = clock.wallMs();
    const attempt: Attempt = {
      id: attemptId,
      number: job.attempts + 1,
      shard: reservation.shard,
      workerId: reservation.workerId,
      epoch: reservation.epoch,
      size: reservation.size,
      intendedAtMs: nowMs,
      restarts: this.policies.isSettled(job.taskClass),
      resumed: job.checkpoint !== undefined,
    };
    this.startingJobs.add(job.id);
    const stored = await jobs.put(markStarting(job, attempt, nowMs));
    if (stored.ok) await this.send(job.id, attempt, reservation);
    else await this.cancelReservation(reservation);
    this.startingJobs.delete(job.id);
  }

  private async send(jobId: string, attempt: Attempt, reservation: Reservation): Promise<void> {
    const job = this.currentJob(jobId, attempt);
    if (!job) return;
    const reasonNotToStart = this.reasonNotToStart(job, attempt);
    if (reasonNotToStart !== undefined) {
      await this.cancelReservation(reservation);
      await this.recordNotStarted(jobId, attempt, reasonNotToStart);
      return;
    }
    const { shards, clock, signal, recorder } = this.context;
    const sentMs = clock.monotonicMs();
    const call = callWithin(clock, SHARD_TIMEOUT_MS, signal);
    const answer = await shards.start(reservation, this.attemptOrder(job, attempt), call);
    const subject = { taskClass: job.taskClass, tenant: job.tenant };
    recorder.time('start', subject, clock.monotonicMs() - sentMs);
    if (answer.ok) {
      await this.reports.apply(attempt.shard, attempt.workerId, answer.val);
      this.stopIfCancelled(jobId, attempt);
      return;
    }
    log.warn('Start failed.', { attempt: attempt.id, failure: answer.val.message });
    if (answer.val.effect === 'not-run') {
      await this.recordNotStarted(jobId, attempt, answer.val.message);
      return;
    }
    await this.resolveLostAnswer(jobId, attempt);
  }

  private async resolveLostAnswer(jobId: string, attempt: Attempt): Promise<void> {
    const outcome = await this.resolver.resolve(attempt);
    if (outcome) await this.reports.applyOutcome(attempt, outcome);
    this.stopIfCancelled(jobId, attempt);
  }

  /** Returns why the start must not be sent now, or nothing if it may be sent. */
  private reasonNotToStart(job: Job, attempt: Attempt): string | undefined {
    const { grant, configuration } = this.context;
    const set = configuration.current();
    if (job.cancelRequested) return 'the job was cancelled';
    if (!grant.isCertain()) return 'this entry may not own the partition any more';
    if (!set || isOut(set, dataCentreOf(attempt.shard))) return 'the data centre was taken out';
    return undefined;
  }

  private async recordNotStarted(jobId: string, attempt: Attempt, reason: string): Promise<void> {
    const { jobs, clock } = this.context;
    const job = this.currentJob(jobId, attempt);
    if (!job) return;
    const nowMs = clock.wallMs();
    await jobs.put(
      job.cancelRequested ? markCancelled(job, nowMs) : markNeverStarted(job, nowMs, reason),
    );
  }

  private stopIfCancelled(jobId: string, attempt: Attempt): void {
    const job = this.currentJob(jobId, attempt);
    if (job?.cancelRequested) this.stopper.stopJob(job);
  }

  private currentJob(jobId: string, attempt: Attempt): Job | undefined {
    const job = this.context.jobs.latest.get(jobId);
    return job?.attempt?.id === attempt.id && !this.context.signal.aborted ? job : undefined;
  }

  /**
   * Releases a reservation that is not used.
   *
   * @param reservation - the reserved capacity
   */
  async cancelReservation(reservation: Reservation): Promise<void> {
    const { shards, clock, signal } = this.context;
    await shards.cancelReservation(reservation, callWithin(clock, SHARD_TIMEOUT_MS, signal));
  }

  private attemptOrder(job: Job, attempt: Attempt): AttemptOrder {
    return {
      attemptId: attempt.id,
      jobId: job.id,
      partition: job.partition,
      taskClass: job.taskClass,
      tenant: job.tenant,
      size: attempt.size,
      payload: job.payload,
      leaseMs: TASK_LEASE_MS,
      ...(job.checkpoint === undefined ? {} : { checkpoint: job.checkpoint }),
    };
  }
}
