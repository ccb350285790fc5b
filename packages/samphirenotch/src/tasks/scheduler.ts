/**
 * Runs scheduling rounds over the queue of one partition and starts the jobs that can start.
 */
import { Ok, Err, type Result } from '../results.js';
import type { ConfigurationSet, TaskClass } from '../config/objects.js';
import type { Infeasibility } from '../decisions/feasibilityCheck.js';
import type { QueuedTask } from '../decisions/placementPolicy.js';
import type { StartPacing } from '../decisions/startPacing.js';
import { detach } from './detach.js';
import { makeAttemptId } from './jobId.js';
import { markFailed } from './jobTransitions.js';
import { QuotaUsage } from './quotaUsage.js';
import {
  MAXIMUM_CONCURRENT_STARTS,
  ORDERING_PAUSE_FACTOR,
  MINIMUM_ROUND_INTERVAL_MS,
  IDLE_ROUND_INTERVAL_MS,
} from './taskSettings.js';
import { Wakeup } from '../time/wakeup.js';
import type { Job } from './job.js';
import type { JobStarter } from './jobStarter.js';
import type { ShardSearch } from './shardSearch.js';
import type { PartitionContext } from './taskContext.js';
import type { WaitReason } from './waitReason.js';

/** State of one scheduling round. */
interface SchedulingRound {
  readonly configuration: ConfigurationSet;
  readonly quotaUsage: QuotaUsage;
  /** Classes for which no worker had room in this round, with the reason to report. */
  readonly fullClasses: Map<string, WaitReason>;
  /** Classes that fit on no worker, by class name. */
  readonly infeasibleClasses: ReadonlyMap<string, Infeasibility>;
}

/** Starts the queued jobs of one partition. */
export class Scheduler {
  private readonly wakeup: Wakeup;

  private closed = false;

  /** How long ordering the queue took in the last round, in milliseconds. */
  private orderingMs = 0;

  /** Why each queued job waits, by job id, as of the last round. */
  private readonly waitReasons = new Map<string, WaitReason>();

  /**
   * @param context - the partition
   * @param search - finds and reserves room on workers
   * @param starter - starts attempts in reserved room
   * @param pacing - limits the rate of starts after capacity has returned
   */
  constructor(
    private readonly context: PartitionContext,
    private readonly search: ShardSearch,
    private readonly starter: JobStarter,
    private readonly pacing: StartPacing,
  ) {
    this.wakeup = new Wakeup(context.clock);
  }

  /** Requests a round before the idle interval has passed. */
  notify(): void {
    this.wakeup.wake();
  }

  /** Stops starting jobs. Starts that are under way go on. */
  close(): void {
    this.closed = true;
  }

  /**
   * Finds the reason why a queued job waits.
   *
   * @param jobId - the job
   * @returns the reason, as of the last round
   */
  waitReasonOf(jobId: string): WaitReason {
    if (!this.context.jobs.isStoreAnswering()) {
      return { kind: 'store', text: 'The store does not answer; a start has to be stored first.' };
    }
    return (
      this.waitReasons.get(jobId) ?? {
        kind: 'next-round',
        text: 'The next look at the queue is due.',
      }
    );
  }

  /** Runs rounds until ownership of the partition ends. */
  async run(): Promise<void> {
    const { signal, jobs, clock } = this.context;
    while (!signal.aborted) {
      this.orderingMs = 0;
      if (jobs.isStoreAnswering() && !this.closed) await this.runRound();
      await clock.sleep(
        Math.max(MINIMUM_ROUND_INTERVAL_MS, this.orderingMs * ORDERING_PAUSE_FACTOR),
        signal,
      );
      await this.wakeup.wait(IDLE_ROUND_INTERVAL_MS, signal);
    }
  }

  private async runRound(): Promise<void> {
    const { configuration, jobs, clock } = this.context;
    const set = configuration.current();
    if (!set) return;
    this.waitReasons.clear();
    const quotaUsage = new QuotaUsage(set, jobs.latest.activeJobs());
    const startMs = clock.monotonicMs();
    const orderedIds = this.orderQueue(set);
    this.orderingMs = clock.monotonicMs() - startMs;
    const round = {
      configuration: set,
      quotaUsage,
      fullClasses: new Map(),
      infeasibleClasses: this.findInfeasibleClasses(set),
    };
    for (const jobId of orderedIds) {
      if (!this.canStartMore()) return;
      const job = jobs.latest.get(jobId);
      if (job?.state !== 'queued') continue;
      const outcome = await this.scheduleJob(job, round);
      if (outcome.err) this.waitReasons.set(jobId, outcome.val);
    }
  }

  private canStartMore(): boolean {
    const { jobs, signal } = this.context;
    if (this.closed || signal.aborted || !jobs.isStoreAnswering()) return false;
    return this.starter.startsInProgress() < MAXIMUM_CONCURRENT_STARTS;
  }

  private orderQueue(set: ConfigurationSet): readonly string[] {
    const { clock, jobs, queueOrder } = this.context;
    const tasks = jobs.latest.queuedJobs().flatMap((job) => this.toQueuedTasks(job, set));
    return queueOrder.order(tasks, clock.wallMs()).map(({ jobId }) => jobId);
  }

  private toQueuedTasks(job: Job, set: ConfigurationSet): readonly QueuedTask[] {
    const taskClass = set.taskClasses.get(job.taskClass);
    if (!taskClass) {
      const text = `The task class ${job.taskClass} is configured no more.`;
      this.waitReasons.set(job.id, { kind: 'never-fits', text, limit: job.taskClass });
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

  private async scheduleJob(job: Job, round: SchedulingRound): Promise<Result<void, WaitReason>> {
    const taskClass = round.configuration.taskClasses.get(job.taskClass);
    if (!taskClass) return Ok(undefined);
    if (this.failIfInfeasible(job, round)) return Ok(undefined);
    const waitReason = this.findWaitReason(job, taskClass, round);
    if (waitReason) return Err(waitReason);
    return this.reserveAndStart(job, taskClass, round);
  }

  private findWaitReason(
    job: Job,
    taskClass: TaskClass,
    round: SchedulingRound,
  ): WaitReason | undefined {
    const { clock } = this.context;
    if (job.notBeforeMs > clock.wallMs()) {
      return { kind: 'retry', text: `It is tried again after a failure: ${job.detail ?? ''}` };
    }
    const quota = round.quotaUsage.exceededQuota(job.tenant, taskClass.size);
    if (quota !== undefined) {
      return { kind: 'quota', text: 'The tenant uses all that its quota allows.', limit: quota };
    }
    const noRoom = round.fullClasses.get(job.taskClass);
    if (noRoom) return noRoom;
    if (this.pacing.tryStart(clock.monotonicMs())) return undefined;
    return { kind: 'pacing', text: 'Starts are spread out after capacity came back.' };
  }

  private async reserveAndStart(
    job: Job,
    taskClass: TaskClass,
    round: SchedulingRound,
  ): Promise<Result<void, WaitReason>> {
    const { grant, jobs } = this.context;
    const attemptId = makeAttemptId(job.id, grant.epoch, job.attempts + 1);
    const found = await this.search.reserve(job, taskClass, attemptId);
    if (found.kind === 'waiting') {
      const text = `No worker of ${taskClass.dataCentres.join(', ')} takes it now.`;
      const reason: WaitReason = { kind: found.reason, text, limit: job.taskClass };
      if (job.excludedWorkers.length === 0) round.fullClasses.set(job.taskClass, reason);
      return Err(reason);
    }
    const currentJob = jobs.latest.get(job.id);
    if (currentJob?.state !== 'queued') {
      await this.starter.cancelReservation(found.reservation);
      return Ok(undefined);
    }
    round.quotaUsage.add(job.tenant, found.reservation.size);
    detach(this.starter.start(currentJob, attemptId, found.reservation).then(() => this.notify()));
    return Ok(undefined);
  }

  /**
   * Fails a job whose class fits on no worker.
   *
   * @returns whether it was failed
   */
  private failIfInfeasible(job: Job, round: SchedulingRound): boolean {
    const infeasibility = round.infeasibleClasses.get(job.taskClass);
    if (!infeasibility) return false;
    const { jobs, clock } = this.context;
    detach(jobs.put(markFailed(job, infeasibility.reason, infeasibility.limit, clock.wallMs())));
    return true;
  }

  private findInfeasibleClasses(set: ConfigurationSet): ReadonlyMap<string, Infeasibility> {
    const { jobs } = this.context;
    const names = new Set(jobs.latest.queuedJobs().map(({ taskClass }) => taskClass));
    const infeasibilities = new Map<string, Infeasibility>();
    for (const name of names) {
      const taskClass = set.taskClasses.get(name);
      const infeasibility = taskClass && this.findInfeasibility(taskClass);
      if (infeasibility) infeasibilities.set(name, infeasibility);
    }
    return infeasibilities;
  }

  /**
   * Checks whether a class fits on any worker. If no worker of one of its data centres is known,
   * nothing can be concluded, and the class counts as feasible.
   */
  private findInfeasibility(taskClass: TaskClass): Infeasibility | undefined {
    const { feasibility, largestWorkerCapacities } = this.context;
    const offers = largestWorkerCapacities().filter(({ dataCentre }) =>
      taskClass.dataCentres.includes(dataCentre),
    );
    const knownDataCentres = new Set(offers.map(({ dataCentre }) => dataCentre));
    if (!taskClass.dataCentres.every((name) => knownDataCentres.has(name))) return undefined;
    return feasibility.findInfeasibility(taskClass.size, offers, 0, taskClass.maximumAttempts);
  }
}
