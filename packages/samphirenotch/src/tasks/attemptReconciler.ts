/**
 * Reconciles the attempts and ended jobs of a partition: evicts attempts from data centres that
 * were taken out, resolves attempts without reports, and drops jobs past their retention time.
 */
import { isOut, type ConfigurationSet } from '../config/objects.js';
import { detach } from './detach.js';
import { SAFE_RESTART_DELAY_MS, MAXIMUM_START_CONFIGURATION_AGE_MS } from '../shards/taskLease.js';
import type { AttemptReportHandler } from './attemptReportHandler.js';
import type { AttemptResolver } from './attemptResolver.js';
import type { AttemptStopper } from './attemptStopper.js';
import { isActive, type Job } from './job.js';
import { dataCentreOf } from './jobId.js';
import type { JobStarter } from './jobStarter.js';
import { markEvicting } from './jobTransitions.js';
import { jobsToDrop } from './retention.js';
import type { RestartPolicies } from './restartPolicies.js';
import type { PartitionContext } from './taskContext.js';
import {
  MAXIMUM_ATTEMPT_SILENCE_MS,
  MAXIMUM_AUDITS_PER_ROUND,
  IDLE_ROUND_INTERVAL_MS,
  SWEEP_INTERVAL_MS,
} from './taskSettings.js';
import { Wakeup } from '../time/wakeup.js';

/** Reconciliation loop for the attempts and ended jobs of one partition. */
export class AttemptReconciler {
  private readonly wakeup: Wakeup;

  private readonly resolving = new Set<string>();

  /** Monotonic time of the last unsuccessful query about a job's attempt, by job id. */
  private readonly queriedAtMs = new Map<string, number>();

  private sweptAtMs = 0;

  private readonly tookOverAtMs: number;

  /**
   * @param context - the partition
   * @param reports - applies the outcomes that are found
   * @param resolver - finds out the state of attempts without reports
   * @param stopper - stops evicted and cancelled attempts
   * @param starter - knows which starts are in progress; their jobs are skipped
   * @param policies - is given each configuration, to track which classes restart after a cut
   */
  constructor(
    private readonly context: PartitionContext,
    private readonly reports: AttemptReportHandler,
    private readonly resolver: AttemptResolver,
    private readonly stopper: AttemptStopper,
    private readonly starter: JobStarter,
    private readonly policies: RestartPolicies,
  ) {
    this.wakeup = new Wakeup(context.clock);
    this.tookOverAtMs = context.clock.monotonicMs();
  }

  /** Requests a round without waiting for the interval to pass. */
  notify(): void {
    this.wakeup.wake();
  }

  /** Runs a round at each interval until the partition is given up. */
  async run(): Promise<void> {
    const { signal, configuration } = this.context;
    while (!signal.aborted) {
      const set = configuration.current();
      if (set) this.applyConfiguration(set);
      this.resumeStops();
      this.resolveSilentAttempts();
      this.dropExpiredJobs();
      await this.wakeup.wait(IDLE_ROUND_INTERVAL_MS, signal);
    }
  }

  private applyConfiguration(set: ConfigurationSet): void {
    this.policies.observe(set);
    this.evict(set);
    this.endLapsedAttempts(set);
  }

  /**
   * Ends attempts that restart after a cut and had no report for so long that their lease has
   * certainly expired. Needs certain ownership and a recently confirmed configuration.
   */
  private endLapsedAttempts(set: ConfigurationSet): void {
    const { jobs, clock, grant, configuration } = this.context;
    if (!grant.isCertain() || configuration.confirmedAgeMs() > MAXIMUM_START_CONFIGURATION_AGE_MS)
      return;
    const nowMs = clock.monotonicMs();
    for (const job of jobs.latest.activeJobs()) {
      const { attempt } = job;
      const restartsElsewhere = set.taskClasses.get(job.taskClass)?.onPartition === 'restart';
      if (!attempt?.restarts || !restartsElsewhere || this.starter.isStarting(job.id)) continue;
      const sinceMs = Math.max(this.reports.lastReportedAtMs(attempt), this.tookOverAtMs);
      if (nowMs - sinceMs <= SAFE_RESTART_DELAY_MS) continue;
      detach(this.reports.applyOutcome(attempt, { kind: 'gone', neverStarted: false }));
    }
  }

  /** Evicts attempts from data centres that are out, highest priority first. */
  private evict(set: ConfigurationSet): void {
    const { jobs, clock } = this.context;
    const priorityOf = (job: Job): number => set.taskClasses.get(job.taskClass)?.priority ?? 0;
    const toEvict = jobs.latest
      .activeJobs()
      .filter((job) => job.state === 'running' && !job.cancelRequested)
      .filter((job) => isOut(set, dataCentreOf(job.attempt?.shard ?? '')))
      .sort((left, right) => priorityOf(right) - priorityOf(left));
    for (const job of toEvict) {
      const next = markEvicting(job, clock.wallMs());
      detach(jobs.put(next));
      this.stopper.stopJob(next);
    }
  }

  /** Continues evictions and cancellations that a former owner did not finish. */
  private resumeStops(): void {
    for (const job of this.context.jobs.latest.activeJobs()) {
      const isUnfinished = job.state === 'evicting' || job.cancelRequested;
      if (isUnfinished && !this.starter.isStarting(job.id)) this.stopper.stopJob(job);
    }
  }

  private resolveSilentAttempts(): void {
    const silent = this.context.jobs.latest.activeJobs().filter((job) => this.isSilent(job));
    for (const job of silent.slice(0, MAXIMUM_AUDITS_PER_ROUND - this.resolving.size)) {
      this.resolving.add(job.id);
      detach(this.resolveAttempt(job).finally(() => this.resolving.delete(job.id)));
    }
  }

  private isSilent(job: Job): boolean {
    if (!job.attempt || job.state === 'evicting' || job.cancelRequested) return false;
    if (this.resolving.has(job.id) || this.starter.isStarting(job.id)) return false;
    const reportedAtMs = this.reports.lastReportedAtMs(job.attempt);
    const lastCheckedAtMs = Math.max(reportedAtMs, this.queriedAtMs.get(job.id) ?? 0);
    // A former owner may have stopped before it sent the start or received its answer.
    if (job.state === 'starting' && lastCheckedAtMs === 0) return true;
    const sinceMs = Math.max(lastCheckedAtMs, this.tookOverAtMs);
    return this.context.clock.monotonicMs() - sinceMs > MAXIMUM_ATTEMPT_SILENCE_MS;
  }

  private async resolveAttempt(job: Job): Promise<void> {
    const { attempt } = job;
    if (!attempt) return;
    this.queriedAtMs.set(job.id, this.context.clock.monotonicMs());
    const outcome = await this.resolver.resolveOnce(attempt);
    const current = this.context.jobs.latest.get(job.id);
    const isCurrent = current?.attempt?.id === attempt.id && isActive(current);
    if (!isCurrent || outcome.ok) this.queriedAtMs.delete(job.id);
    if (outcome.ok && isCurrent) await this.reports.applyOutcome(attempt, outcome.val);
  }

  private dropExpiredJobs(): void {
    const { clock, jobs } = this.context;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.sweptAtMs < SWEEP_INTERVAL_MS || !jobs.isStoreAnswering()) return;
    this.sweptAtMs = nowMs;
    const dropped = jobsToDrop(jobs.latest.endedJobs(), clock.wallMs());
    dropped.forEach((job) => jobs.drop(job.id));
  }
}
