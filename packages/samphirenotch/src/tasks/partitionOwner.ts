/**
 * The owner of one partition of jobs. It is the only writer of these jobs: it decides when their
 * attempts start and records how they end.
 */
import { setMaxListeners } from 'node:events';
import { partLog } from '../observability/log.js';
import type { StartPacing } from '../decisions/startPacing.js';
import type { Grant } from '../membership/ownership.js';
import type { AttemptReport } from '../infrastructure/worker.js';
import { AttemptReconciler } from './attemptReconciler.js';
import { AttemptReportHandler } from './attemptReportHandler.js';
import { AttemptResolver } from './attemptResolver.js';
import { AttemptStopper } from './attemptStopper.js';
import { JobStarter } from './jobStarter.js';
import { JobStore } from './jobStore.js';
import { RestartPolicies } from './restartPolicies.js';
import { Scheduler } from './scheduler.js';
import { ShardSearch } from './shardSearch.js';
import type { CommitContext } from './groupCommit.js';
import type { Job } from './job.js';
import { loadPartition, type LoadedPartition } from './partitionLoad.js';
import type { PartitionContext, TaskContext } from './taskContext.js';
import {
  MINIMUM_PACED_OUTAGE_MS,
  RELEASE_TIMEOUT_MS,
  IDLE_ROUND_INTERVAL_MS,
  MAXIMUM_STORE_BACKOFF_MS,
} from './taskSettings.js';

const log = partLog('task-owner');

/** A partition that this entry owns. */
export class PartitionOwner {
  private readonly ownershipController = new AbortController();

  private readonly listeners = new Set<(job: Job) => void>();

  private store: JobStore | undefined;

  private reports: AttemptReportHandler | undefined;

  private scheduler: Scheduler | undefined;

  private reconciler: AttemptReconciler | undefined;

  private stopper: AttemptStopper | undefined;

  private starter: JobStarter | undefined;

  private readonly pacing: StartPacing;

  private backgroundLoops: Promise<unknown> = Promise.resolve();

  /**
   * @param context - components of the entry
   * @param grant - ownership of the partition, with its epoch
   */
  constructor(
    private readonly context: TaskContext,
    readonly grant: Grant,
  ) {
    this.pacing = context.makePacing();
    setMaxListeners(0, this.ownershipController.signal);
    grant.signal.addEventListener('abort', () => this.ownershipController.abort());
    if (grant.signal.aborted) this.ownershipController.abort();
  }

  /**
   * Gets the signal for the end of ownership.
   *
   * @returns a signal that is aborted when ownership ends
   */
  ownershipSignal(): AbortSignal {
    return this.ownershipController.signal;
  }

  /**
   * Gets the jobs of the partition.
   *
   * @returns the jobs; undefined until they are loaded and after ownership has ended
   */
  jobs(): JobStore | undefined {
    return this.ownershipController.signal.aborted ? undefined : this.store;
  }

  /**
   * Gets the scheduler of the partition.
   *
   * @returns the scheduler; undefined until the jobs are loaded
   */
  currentScheduler(): Scheduler | undefined {
    return this.scheduler;
  }

  /** Loads the jobs, then schedules and tracks them until ownership ends. */
  async run(): Promise<void> {
    const loaded = await this.load();
    if (!loaded) return;
    log.info('Partition taken over.', { partition: this.grant.resource, jobs: loaded.jobs.size });
    this.createComponents(loaded);
    this.backgroundLoops = Promise.all([
      this.store?.run(),
      this.scheduler?.run(),
      this.reconciler?.run(),
    ]);
    await this.backgroundLoops;
  }

  /**
   * Applies the report of a worker about one attempt.
   *
   * @param shard - resource name of the worker's shard
   * @param workerId - the worker
   * @param report - state of the attempt
   * @returns true once the end of the attempt is durable; undefined while the jobs are not loaded
   * or another entry may own them, because accepting a report lets the attempt continue to run
   */
  async report(
    shard: string,
    workerId: string,
    report: AttemptReport,
  ): Promise<boolean | undefined> {
    if (!this.jobs() || !this.grant.isCertain()) return undefined;
    return this.reports?.apply(shard, workerId, report);
  }

  /**
   * Stops the attempt of a cancelled job. While its start is still under way nothing is done here:
   * the start itself stops the attempt.
   *
   * @param job - the job
   */
  stopCancelled(job: Job): void {
    if (!this.starter?.isStarting(job.id)) this.stopper?.stopJob(job);
  }

  /**
   * Subscribes to durable changes of jobs.
   *
   * @param listener - called with each changed job
   * @returns a function that unsubscribes
   */
  subscribe(listener: (job: Job) => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /**
   * Reacts to a new configuration.
   *
   * @param dataCentreReturned - whether an outage of a data centre ended with it
   */
  configurationChanged(dataCentreReturned: boolean): void {
    if (dataCentreReturned) this.pacing.capacityReturned(this.context.clock.monotonicMs());
    this.wakeLoops();
  }

  /** Wakes the loops that check the queue and the attempts. */
  private wakeLoops(): void {
    this.scheduler?.notify();
    this.reconciler?.notify();
  }

  /**
   * Hands the partition over: waits, up to the timeout, until starts that are under way have ended
   * and all changes are stored, and then ends ownership.
   */
  async close(): Promise<void> {
    const { clock } = this.context;
    this.scheduler?.close();
    const endMs = clock.monotonicMs() + RELEASE_TIMEOUT_MS;
    while ((this.starter?.startsInProgress() ?? 0) > 0 && clock.monotonicMs() < endMs) {
      if (this.ownershipController.signal.aborted) break;
      await clock.sleep(IDLE_ROUND_INTERVAL_MS / 10, this.ownershipController.signal);
    }
    const timeout = clock.sleep(
      Math.max(0, endMs - clock.monotonicMs()),
      this.ownershipController.signal,
    );
    await Promise.race([this.store?.drain(), timeout]);
    this.ownershipController.abort();
    await this.backgroundLoops;
  }

  private async load(): Promise<LoadedPartition | undefined> {
    const { clock, random } = this.context;
    const { signal } = this.ownershipController;
    while (!signal.aborted) {
      const loaded = await loadPartition(this.makeCommitContext());
      if (loaded.ok) return loaded.val;
      log.warn('Partition could not be loaded yet.', { failure: loaded.val.message });
      if (loaded.val.code === 'not-owner') return undefined;
      await clock.sleep((MAXIMUM_STORE_BACKOFF_MS / 4) * (1 + random.fraction()), signal);
    }
    return undefined;
  }

  private createComponents(loaded: LoadedPartition): void {
    const { pacing } = this;
    const onStoreRecovered = (outageMs: number): void => {
      if (outageMs >= MINIMUM_PACED_OUTAGE_MS)
        pacing.capacityReturned(this.context.clock.monotonicMs());
      this.wakeLoops();
    };
    const onDurableJob = (job: Job): void => this.publishChange(job);
    const jobs = new JobStore(
      { ...this.makeCommitContext(), onStoreRecovered, onDurableJob },
      loaded,
    );
    const context: PartitionContext = {
      ...this.context,
      partition: this.grant.resource,
      grant: this.grant,
      signal: this.ownershipController.signal,
      jobs,
    };
    const reports = new AttemptReportHandler(context, (shard, workerId, id) =>
      this.stopper?.stop({ shard, workerId, id }, false),
    );
    const resolver = new AttemptResolver(context);
    this.stopper = new AttemptStopper(context, (target, fate) =>
      reports.applyOutcome(target, fate),
    );
    const policies = new RestartPolicies(context.clock);
    this.starter = new JobStarter(context, reports, resolver, this.stopper, policies);
    this.reconciler = new AttemptReconciler(
      context,
      reports,
      resolver,
      this.stopper,
      this.starter,
      policies,
    );
    this.scheduler = new Scheduler(context, new ShardSearch(context), this.starter, pacing);
    this.reports = reports;
    this.store = jobs;
  }

  private makeCommitContext(): Omit<CommitContext, 'onDurable'> {
    return {
      store: this.context.store,
      clock: this.context.clock,
      random: this.context.random,
      recorder: this.context.recorder,
      partition: this.grant.resource,
      owner: this.context.selfId,
      epoch: this.grant.epoch,
      signal: this.ownershipController.signal,
      onOwnershipLost: () => this.ownershipController.abort(),
      onStoreRecovered: () => undefined,
    };
  }

  private publishChange(job: Job): void {
    const { id: task, state, attempt } = job;
    log.info('Task changed.', { task, state, attempt: attempt?.id, worker: attempt?.workerId });
    if (job.state === 'queued') this.scheduler?.notify();
    for (const listener of this.listeners) listener(job);
  }
}
