/**
 * Starts an attempt in reserved room: first the intent is made durable, then the start is sent, and
 * a lost answer is followed up until there is proof.
 */
import { isOut } from '../config/objects.js';
import { partLog } from '../observability/log.js';
import { callWithin } from '../time/call.js';
import type { AttemptOrder } from '../infrastructure/worker.js';
import type { Reservation } from '../shards/shardService.js';
import { TASK_LEASE_MS } from '../shards/taskLease.js';
import { dataCentreOf } from './jobId.js';
import { cancelled, intended, neverStarted } from './jobTransitions.js';
import { SHARD_TIMEOUT_MS } from './taskSettings.js';
import type { AttemptReports } from './attemptReports.js';
import type { AttemptResolver } from './attemptResolver.js';
import type { AttemptStopper } from './attemptStopper.js';
import type { Attempt, Job } from './job.js';
import type { RestartPolicies } from './restartPolicies.js';
import type { PartitionContext } from './taskContext.js';

const log = partLog('task-starts');

/** Starts attempts of one partition. */
export class JobStarter {
  private readonly inHand = new Set<string>();

  /**
   * @param context - the partition
   * @param reports - takes in answers
   * @param resolver - follows up lost answers
   * @param stopper - stops what was cancelled meanwhile
   * @param policies - knows which attempts lapse by themselves
   */
  constructor(
    private readonly context: PartitionContext,
    private readonly reports: AttemptReports,
    private readonly resolver: AttemptResolver,
    private readonly stopper: AttemptStopper,
    private readonly policies: RestartPolicies,
  ) {}

  /**
   * Tells how many starts are under way.
   *
   * @returns the number
   */
  count(): number {
    return this.inHand.size;
  }

  /**
   * Tells whether the start of a job is under way here.
   *
   * @param jobId - the job
   * @returns true until the start has been answered or resolved
   */
  isInHand(jobId: string): boolean {
    return this.inHand.has(jobId);
  }

  /**
   * Starts an attempt.
   *
   * @param job - a queued job
   * @param attemptId - id of the attempt, for which the room was reserved
   * @param reservation - the room
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
    this.inHand.add(job.id);
    const stored = await jobs.put(intended(job, attempt, nowMs));
    if (stored.ok) await this.send(job.id, attempt, reservation);
    else await this.free(reservation);
    this.inHand.delete(job.id);
  }

  private async send(jobId: string, attempt: Attempt, reservation: Reservation): Promise<void> {
    const job = this.present(jobId, attempt);
    if (!job) return;
    const obstacle = this.obstacle(job, attempt);
    if (obstacle !== undefined) {
      await this.free(reservation);
      await this.giveUp(jobId, attempt, obstacle);
      return;
    }
    const { shards, clock, signal, recorder } = this.context;
    const sentMs = clock.monotonicMs();
    const call = callWithin(clock, SHARD_TIMEOUT_MS, signal);
    const answer = await shards.start(reservation, this.order(job, attempt), call);
    const subject = { taskClass: job.taskClass, tenant: job.tenant };
    recorder.time('start', subject, clock.monotonicMs() - sentMs);
    if (answer.ok) {
      await this.reports.apply(attempt.shard, attempt.workerId, answer.val);
      this.stopIfCancelled(jobId, attempt);
      return;
    }
    log.warn('Start failed.', { attempt: attempt.id, failure: answer.val.message });
    if (answer.val.effect === 'not-run') {
      await this.giveUp(jobId, attempt, answer.val.message);
      return;
    }
    await this.followUp(jobId, attempt);
  }

  private async followUp(jobId: string, attempt: Attempt): Promise<void> {
    const fate = await this.resolver.resolve(attempt);
    if (fate) await this.reports.settle(attempt, fate);
    this.stopIfCancelled(jobId, attempt);
  }

  /** What stands against sending the start now, if anything does. */
  private obstacle(job: Job, attempt: Attempt): string | undefined {
    const { grant, configuration } = this.context;
    const set = configuration.current();
    if (job.cancelRequested) return 'the job was cancelled';
    if (!grant.isCertain()) return 'this entry may not own the partition any more';
    if (!set || isOut(set, dataCentreOf(attempt.shard))) return 'the data centre was taken out';
    return undefined;
  }

  private async giveUp(jobId: string, attempt: Attempt, reason: string): Promise<void> {
    const { jobs, clock } = this.context;
    const job = this.present(jobId, attempt);
    if (!job) return;
    const nowMs = clock.wallMs();
    await jobs.put(job.cancelRequested ? cancelled(job, nowMs) : neverStarted(job, nowMs, reason));
  }

  private stopIfCancelled(jobId: string, attempt: Attempt): void {
    const job = this.present(jobId, attempt);
    if (job?.cancelRequested) this.stopper.stopJob(job);
  }

  private present(jobId: string, attempt: Attempt): Job | undefined {
    const job = this.context.jobs.latest.get(jobId);
    return job?.attempt?.id === attempt.id && !this.context.signal.aborted ? job : undefined;
  }

  /**
   * Frees room that is not used after all.
   *
   * @param reservation - the room
   */
  async free(reservation: Reservation): Promise<void> {
    const { shards, clock, signal } = this.context;
    await shards.cancelReservation(reservation, callWithin(clock, SHARD_TIMEOUT_MS, signal));
  }

  private order(job: Job, attempt: Attempt): AttemptOrder {
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
