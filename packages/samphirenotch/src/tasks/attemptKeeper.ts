/**
 * Looks after the attempts and ended jobs of a partition: evicts where a data centre was taken out,
 * asks after attempts that nobody reports, and drops what has been kept long enough.
 */
import { isOut, type ConfigurationSet } from '../config/objects.js';
import { detach } from './detach.js';
import { RESTART_PROOF_MS, START_FRESHNESS_MS } from '../shards/taskLease.js';
import type { AttemptReports } from './attemptReports.js';
import type { AttemptResolver } from './attemptResolver.js';
import type { AttemptStopper } from './attemptStopper.js';
import { isActive, type Job } from './job.js';
import { dataCentreOf } from './jobId.js';
import type { JobStarter } from './jobStarter.js';
import { evicting } from './jobTransitions.js';
import { jobsToDrop } from './retention.js';
import type { RestartPolicies } from './restartPolicies.js';
import type { PartitionContext } from './taskContext.js';
import {
  ATTEMPT_SILENCE_MS,
  AUDITS_PER_ROUND,
  SCHEDULE_INTERVAL_MS,
  SWEEP_INTERVAL_MS,
} from './taskSettings.js';
import { Wakeup } from '../time/wakeup.js';

/** Keeps the attempts of one partition in order. */
export class AttemptKeeper {
  private readonly wakeup: Wakeup;

  private readonly asked = new Set<string>();

  private readonly askedAtMs = new Map<string, number>();

  private sweptAtMs = 0;

  private readonly tookOverAtMs: number;

  /**
   * @param context - the partition
   * @param reports - takes in what is found
   * @param resolver - asks after attempts
   * @param stopper - stops what is evicted
   * @param starter - has starts in hand, which are left alone
   * @param policies - knows which attempts lapse by themselves
   */
  constructor(
    private readonly context: PartitionContext,
    private readonly reports: AttemptReports,
    private readonly resolver: AttemptResolver,
    private readonly stopper: AttemptStopper,
    private readonly starter: JobStarter,
    private readonly policies: RestartPolicies,
  ) {
    this.wakeup = new Wakeup(context.clock);
    this.tookOverAtMs = context.clock.monotonicMs();
  }

  /** Asks for a look soon. */
  notify(): void {
    this.wakeup.wake();
  }

  /** Works until the partition is given up. */
  async run(): Promise<void> {
    const { signal, configuration } = this.context;
    while (!signal.aborted) {
      const set = configuration.current();
      if (set) this.followConfiguration(set);
      this.resume();
      this.audit();
      this.sweep();
      await this.wakeup.wait(SCHEDULE_INTERVAL_MS, signal);
    }
  }

  private followConfiguration(set: ConfigurationSet): void {
    this.policies.observe(set);
    this.evict(set);
    this.concludeLapses(set);
  }

  /** Gives up attempts that lapsed by themselves, since no report of them came for so long. */
  private concludeLapses(set: ConfigurationSet): void {
    const { jobs, clock, grant, configuration } = this.context;
    if (!grant.isCertain() || configuration.confirmedAgeMs() > START_FRESHNESS_MS) return;
    const nowMs = clock.monotonicMs();
    for (const job of jobs.latest.activeJobs()) {
      const { attempt } = job;
      const isSet = set.taskClasses.get(job.taskClass)?.onPartition === 'restart';
      if (!attempt?.restarts || !isSet || this.starter.isInHand(job.id)) continue;
      const sinceMs = Math.max(this.reports.lastSeenMs(attempt), this.tookOverAtMs);
      if (nowMs - sinceMs <= RESTART_PROOF_MS) continue;
      detach(this.reports.settle(attempt, { kind: 'gone', neverStarted: false }));
    }
  }

  /** Evicts from data centres that are out, the most urgent work first. */
  private evict(set: ConfigurationSet): void {
    const { jobs, clock } = this.context;
    const priorityOf = (job: Job): number => set.taskClasses.get(job.taskClass)?.priority ?? 0;
    const leaving = jobs.latest
      .activeJobs()
      .filter((job) => job.state === 'running' && !job.cancelRequested)
      .filter((job) => isOut(set, dataCentreOf(job.attempt?.shard ?? '')))
      .sort((left, right) => priorityOf(right) - priorityOf(left));
    for (const job of leaving) {
      const next = evicting(job, clock.wallMs());
      detach(jobs.put(next));
      this.stopper.stopJob(next);
    }
  }

  /** Goes on with evictions and cancellations that an owner before left half done. */
  private resume(): void {
    for (const job of this.context.jobs.latest.activeJobs()) {
      const isUnfinished = job.state === 'evicting' || job.cancelRequested;
      if (isUnfinished && !this.starter.isInHand(job.id)) this.stopper.stopJob(job);
    }
  }

  private audit(): void {
    const silent = this.context.jobs.latest.activeJobs().filter((job) => this.isSilent(job));
    for (const job of silent.slice(0, AUDITS_PER_ROUND - this.asked.size)) {
      this.asked.add(job.id);
      detach(this.ask(job).finally(() => this.asked.delete(job.id)));
    }
  }

  private isSilent(job: Job): boolean {
    if (!job.attempt || job.state === 'evicting' || job.cancelRequested) return false;
    if (this.asked.has(job.id) || this.starter.isInHand(job.id)) return false;
    const heardAtMs = this.reports.lastSeenMs(job.attempt);
    const seenAtMs = Math.max(heardAtMs, this.askedAtMs.get(job.id) ?? 0);
    if (job.state === 'starting' && seenAtMs === 0) return true;
    const sinceMs = Math.max(seenAtMs, this.tookOverAtMs);
    return this.context.clock.monotonicMs() - sinceMs > ATTEMPT_SILENCE_MS;
  }

  private async ask(job: Job): Promise<void> {
    const { attempt } = job;
    if (!attempt) return;
    this.askedAtMs.set(job.id, this.context.clock.monotonicMs());
    const fate = await this.resolver.ask(attempt);
    const present = this.context.jobs.latest.get(job.id);
    const isSame = present?.attempt?.id === attempt.id && isActive(present);
    if (!isSame || fate.ok) this.askedAtMs.delete(job.id);
    if (fate.ok && isSame) await this.reports.settle(attempt, fate.val);
  }

  private sweep(): void {
    const { clock, jobs } = this.context;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.sweptAtMs < SWEEP_INTERVAL_MS || !jobs.isAnswering()) return;
    this.sweptAtMs = nowMs;
    const dropped = jobsToDrop(jobs.latest.endedJobs(), clock.wallMs());
    dropped.forEach((job) => jobs.drop(job.id));
  }
}
