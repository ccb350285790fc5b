/**
 * The owner of one job partition: the single writer of its jobs, which decides when their attempts
 * start and records how they end.
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

/** An owned partition. */
export class PartitionOwner {
  private readonly ownershipController = new AbortController();

  private readonly listeners = new Set<(job: Job) => void>();

  private store: JobStore | undefined;

  private reports: AttemptReportHandler | undefined;

  private scheduler: Scheduler | undefined;

  private keeper: AttemptReconciler | undefined;

  private stopper: AttemptStopper | undefined;

  private starter: JobStarter | undefined;

  private readonly pacing: StartPacing;

  private backgroundLoops: Promise<unknown> = Promise.resolve();

  /**
   * @param context - parts of the entry
   * @param grant - the right to own the partition
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
   * Finds the signal that ends the ownership.
   *
   * @returns aborted when the partition is given up
   */
  ownershipSignal(): AbortSignal {
    return this.ownershipController.signal;
  }

  /**
   * Finds the jobs once they are loaded.
   *
   * @returns the jobs, nothing before that and after the partition was given up
   */
  jobs(): JobStore | undefined {
    return this.ownershipController.signal.aborted ? undefined : this.store;
  }

  /**
   * Finds the scheduler once the jobs are loaded.
   *
   * @returns the scheduler
   */
  currentScheduler(): Scheduler | undefined {
    return this.scheduler;
  }

  /** Loads the jobs and works on them until the partition is given up. */
  async run(): Promise<void> {
    const loaded = await this.load();
    if (!loaded) return;
    log.info('Partition taken over.', { partition: this.grant.resource, jobs: loaded.jobs.size });
    this.createComponents(loaded);
    this.backgroundLoops = Promise.all([
      this.store?.run(),
      this.scheduler?.run(),
      this.keeper?.run(),
    ]);
    await this.backgroundLoops;
  }

  /**
   * Takes in a report.
   *
   * @param shard - shard of the worker
   * @param workerId - the worker
   * @param report - what it says of an attempt
   * @returns true once the end of the attempt is durable; nothing while the jobs are not loaded or
   * another entry may own them, since a report that is taken lets the attempt run on
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
   * Stops the attempt of a cancelled job, unless its start is under way, which sees to that itself.
   *
   * @param job - the job
   */
  stopCancelled(job: Job): void {
    if (!this.starter?.isStarting(job.id)) this.stopper?.stopJob(job);
  }

  /**
   * Listens to durable changes.
   *
   * @param listener - called with each changed job
   * @returns a function that ends it
   */
  subscribe(listener: (job: Job) => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /**
   * Takes note of a new configuration.
   *
   * @param dataCentreReturned - whether a data centre came back with it
   */
  configurationChanged(dataCentreReturned: boolean): void {
    if (dataCentreReturned) this.pacing.capacityReturned(this.context.clock.monotonicMs());
    this.notify();
  }

  /** Looks at queue and attempts soon. */
  private notify(): void {
    this.scheduler?.notify();
    this.keeper?.notify();
  }

  /** Ends work in good order: starts under way are finished and changes stored first. */
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
    const onReturn = (outageMs: number): void => {
      if (outageMs >= MINIMUM_PACED_OUTAGE_MS)
        pacing.capacityReturned(this.context.clock.monotonicMs());
      this.notify();
    };
    const onJob = (job: Job): void => this.publishChange(job);
    const jobs = new JobStore(
      { ...this.makeCommitContext(), onStoreRecovered: onReturn, onDurableJob: onJob },
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
    this.keeper = new AttemptReconciler(
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
