/**
 * Looks at the queue of a partition again and again, and starts what may start.
 */
import { Ok, Err, type Result } from '../results.js';
import type { ConfigurationSet, TaskClass } from '../config/objects.js';
import type { Infeasibility } from '../decisions/feasibilityCheck.js';
import type { QueuedTask } from '../decisions/placementPolicy.js';
import type { StartPacing } from '../decisions/startPacing.js';
import { detach } from './detach.js';
import { makeAttemptId } from './jobId.js';
import { markFailed } from './jobTransitions.js';
import { QuotaUse } from './quotaUse.js';
import {
  CONCURRENT_STARTS,
  ORDER_SHARE,
  ROUND_INTERVAL_MS,
  SCHEDULE_INTERVAL_MS,
} from './taskSettings.js';
import { Wakeup } from '../time/wakeup.js';
import type { Job } from './job.js';
import type { JobStarter } from './jobStarter.js';
import type { ShardSearch } from './shardSearch.js';
import type { PartitionContext } from './taskContext.js';
import type { WaitReason } from './waitReason.js';

/** State of one look at the queue. */
interface Round {
  readonly set: ConfigurationSet;
  readonly quotas: QuotaUse;
  /** Classes for which no room was found in this round. */
  readonly full: Map<string, WaitReason>;
  /** Classes that fit no worker, by what stops them. */
  readonly impossible: ReadonlyMap<string, Infeasibility>;
}

/** Starts the queued jobs of one partition. */
export class Scheduler {
  private readonly wakeup: Wakeup;

  private closed = false;

  /** How long ordering the queue took in the last look, in milliseconds. */
  private orderMs = 0;

  private readonly waiting = new Map<string, WaitReason>();

  /**
   * @param context - the partition
   * @param search - finds room
   * @param starter - starts in it
   * @param pacing - spreads starts
   */
  constructor(
    private readonly context: PartitionContext,
    private readonly search: ShardSearch,
    private readonly starter: JobStarter,
    private readonly pacing: StartPacing,
  ) {
    this.wakeup = new Wakeup(context.clock);
  }

  /** Asks for a look at the queue soon. */
  notify(): void {
    this.wakeup.wake();
  }

  /** Starts nothing more. */
  close(): void {
    this.closed = true;
  }

  /**
   * Tells why a queued job waits.
   *
   * @param jobId - the job
   * @returns the reason, as of the last look at the queue
   */
  reasonOf(jobId: string): WaitReason {
    if (!this.context.jobs.isStoreAnswering()) {
      return { kind: 'store', text: 'The store does not answer; a start has to be stored first.' };
    }
    return (
      this.waiting.get(jobId) ?? { kind: 'next-round', text: 'The next look at the queue is due.' }
    );
  }

  /** Starts jobs until the partition is given up. */
  async run(): Promise<void> {
    const { signal, jobs, clock } = this.context;
    while (!signal.aborted) {
      this.orderMs = 0;
      if (jobs.isStoreAnswering() && !this.closed) await this.round();
      await clock.sleep(Math.max(ROUND_INTERVAL_MS, this.orderMs * ORDER_SHARE), signal);
      await this.wakeup.wait(SCHEDULE_INTERVAL_MS, signal);
    }
  }

  private async round(): Promise<void> {
    const { configuration, jobs, clock } = this.context;
    const set = configuration.current();
    if (!set) return;
    this.waiting.clear();
    const quotas = new QuotaUse(set, jobs.latest.activeJobs());
    const beganMs = clock.monotonicMs();
    const order = this.ordered(set);
    this.orderMs = clock.monotonicMs() - beganMs;
    const round = { set, quotas, full: new Map(), impossible: this.impossibleClasses(set) };
    for (const jobId of order) {
      if (!this.mayGoOn()) return;
      const job = jobs.latest.get(jobId);
      if (job?.state !== 'queued') continue;
      const outcome = await this.consider(job, round);
      if (outcome.err) this.waiting.set(jobId, outcome.val);
    }
  }

  private mayGoOn(): boolean {
    const { jobs, signal } = this.context;
    if (this.closed || signal.aborted || !jobs.isStoreAnswering()) return false;
    return this.starter.startsInProgress() < CONCURRENT_STARTS;
  }

  private ordered(set: ConfigurationSet): readonly string[] {
    const { clock, jobs, queueOrder } = this.context;
    const tasks = jobs.latest.queuedJobs().flatMap((job) => this.describe(job, set));
    return queueOrder.order(tasks, clock.wallMs()).map(({ jobId }) => jobId);
  }

  private describe(job: Job, set: ConfigurationSet): readonly QueuedTask[] {
    const taskClass = set.taskClasses.get(job.taskClass);
    if (!taskClass) {
      const text = `The task class ${job.taskClass} is configured no more.`;
      this.waiting.set(job.id, { kind: 'never-fits', text, limit: job.taskClass });
      return [];
    }
    return [
      {
        jobId: job.id,
        taskClass: job.taskClass,
        tenant: job.tenant,
        tenantWeight: set.tenants.get(job.tenant)?.weight ?? 1,
        priority: taskClass.priority,
        enqueuedAtMs: job.submittedAtMs,
        size: taskClass.size,
      },
    ];
  }

  private async consider(job: Job, round: Round): Promise<Result<void, WaitReason>> {
    const taskClass = round.set.taskClasses.get(job.taskClass);
    if (!taskClass) return Ok(undefined);
    if (this.nameImpossible(job, round)) return Ok(undefined);
    const obstacle = this.obstacle(job, taskClass, round);
    if (obstacle) return Err(obstacle);
    return this.place(job, taskClass, round);
  }

  private obstacle(job: Job, taskClass: TaskClass, round: Round): WaitReason | undefined {
    const { clock } = this.context;
    if (job.notBeforeMs > clock.wallMs()) {
      return { kind: 'retry', text: `It is tried again after a failure: ${job.detail ?? ''}` };
    }
    const quota = round.quotas.stoppedBy(job.tenant, taskClass.size);
    if (quota !== undefined) {
      return { kind: 'quota', text: 'The tenant uses all that its quota allows.', limit: quota };
    }
    const full = round.full.get(job.taskClass);
    if (full) return full;
    if (this.pacing.tryStart(clock.monotonicMs())) return undefined;
    return { kind: 'pacing', text: 'Starts are spread out after capacity came back.' };
  }

  private async place(
    job: Job,
    taskClass: TaskClass,
    round: Round,
  ): Promise<Result<void, WaitReason>> {
    const { grant, jobs } = this.context;
    const attemptId = makeAttemptId(job.id, grant.epoch, job.attempts + 1);
    const found = await this.search.reserve(job, taskClass, attemptId);
    if (found.kind === 'waiting') {
      const text = `No worker of ${taskClass.dataCentres.join(', ')} takes it now.`;
      const reason: WaitReason = { kind: found.reason, text, limit: job.taskClass };
      if (job.excludedWorkers.length === 0) round.full.set(job.taskClass, reason);
      return Err(reason);
    }
    const present = jobs.latest.get(job.id);
    if (present?.state !== 'queued') {
      await this.starter.cancelReservation(found.reservation);
      return Ok(undefined);
    }
    round.quotas.add(job.tenant, found.reservation.size);
    detach(this.starter.start(present, attemptId, found.reservation).then(() => this.notify()));
    return Ok(undefined);
  }

  /** Ends a job that can never run. */
  private nameImpossible(job: Job, round: Round): boolean {
    const verdict = round.impossible.get(job.taskClass);
    if (!verdict) return false;
    const { jobs, clock } = this.context;
    detach(jobs.put(markFailed(job, verdict.reason, verdict.limit, clock.wallMs())));
    return true;
  }

  private impossibleClasses(set: ConfigurationSet): ReadonlyMap<string, Infeasibility> {
    const { jobs } = this.context;
    const names = new Set(jobs.latest.queuedJobs().map(({ taskClass }) => taskClass));
    const verdicts = new Map<string, Infeasibility>();
    for (const name of names) {
      const taskClass = set.taskClasses.get(name);
      const verdict = taskClass && this.judge(taskClass);
      if (verdict) verdicts.set(name, verdict);
    }
    return verdicts;
  }

  /** Judges a class. A data centre without a known worker gives no proof. */
  private judge(taskClass: TaskClass): Infeasibility | undefined {
    const { impossibleJobs, capacities } = this.context;
    const offers = capacities().filter(({ dataCentre }) =>
      taskClass.dataCentres.includes(dataCentre),
    );
    const known = new Set(offers.map(({ dataCentre }) => dataCentre));
    if (!taskClass.dataCentres.every((name) => known.has(name))) return undefined;
    return impossibleJobs.findInfeasibility(taskClass.size, offers, 0, taskClass.maximumAttempts);
  }
}
