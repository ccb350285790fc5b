/**
 * One term as owner of a share: takes over its jobs and workers, then starts, watches and ends
 * tasks.
 */
import type { PolicyService } from '../../infrastructure/policyService.js';
import type {
  RunEnd,
  RunReport,
  TaskWorkerDirectory,
  WorkerDescription,
} from '../../infrastructure/taskWorker.js';
import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import type { Size } from '../../infrastructure/worker.js';
import { partLog } from '../../observability/log.js';
import type { Recorder } from '../../observability/recorder.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';
import { settleInTime } from '../../time/settleInTime.js';
import { Wakeup } from '../../time/wakeup.js';

import { jobIdOfTask } from '../model/jobSpec.js';
import {
  reservedSizeOf,
  reservedSizeOfStep,
  type OwnedJob,
  type OwnedRun,
  type OwnedTask,
} from '../model/ownedJob.js';
import { machineOf } from '../model/processName.js';
import type { Share, ShareLayout } from '../model/shareLayout.js';
import type { SiteCodec } from '../model/siteCodec.js';
import { FillerPacing } from '../pacing/fillerPacing.js';
import { Interference } from '../pacing/interference.js';
import { roomForInterrupted } from '../placement/interruptedRoom.js';
import { RunLog } from '../placement/runLog.js';
import { StepLauncher } from '../placement/stepLauncher.js';
import { StepPermissions } from '../placement/stepPermissions.js';
import { TaskPlaces } from '../placement/taskPlaces.js';
import { keysOfShare } from '../store/jobKeys.js';
import type { JobReplica, ReplicatedJob } from '../store/jobReplica.js';
import type { OperatorFollower } from '../store/operatorFollower.js';
import { ProgressJournal } from '../store/progressJournal.js';
import type { ShareCapacityCache } from '../store/shareCapacityCache.js';
import type { OwnerRecord } from '../store/shareDirectory.js';
import { StoreFollower } from '../store/storeFollower.js';
import { MAXIMUM_UNCONFIRMED_MS, type Term } from '../store/term.js';
import type { FormerOwner } from '../workers/formerLeases.js';
import { OrderBatcher } from '../workers/orderBatcher.js';
import { recordDoneRate } from '../workers/runSpeed.js';
import { RunSupervisor } from '../workers/runSupervisor.js';
import { SlowWorkerDetector } from '../workers/slowWorkerDetector.js';
import { WorkerAgent, type AgentListener } from '../workers/workerAgent.js';
import { WorkerDirectory, type DirectoryListener } from '../workers/workerDirectory.js';
import { WorkerFleet } from '../workers/workerFleet.js';
import type { ShareJobExplanation, TermStatus, WorkerStatus } from './entryStatus.js';
import { JobRegistry } from '../store/jobRegistry.js';
import { GangStops } from './gangStops.js';
import { JobRetention } from './jobRetention.js';
import { ShareExchange } from './shareExchange.js';
import { SummaryWriter } from './summaryWriter.js';
import { takeOver, type TakeoverState } from './takeover.js';
import { TaskOutcomes } from './taskOutcomes.js';
import { WatchedRuns } from './watchedRuns.js';

/** Longest wait for an event before the next pass over the waiting tasks, in milliseconds. */
const MAX_PASS_WAIT_MS = 250;

/**
 * Shortest pause between two passes, in milliseconds. It batches starts that become due together.
 */
const MIN_PASS_REST_MS = 12;

/** Pause after a pass that left nothing to start, as a multiple of the duration of the pass. */
const PASS_REST_FACTOR = 3;

/**
 * Longest pause between two passes, in milliseconds. Tasks that arrive meanwhile wait for its end.
 */
const MAX_PASS_REST_MS = 100;

/** Duration from which a pass is logged as slow, in milliseconds. A pass blocks the event loop. */
const SLOW_PASS_MS = 100;

/**
 * How long changes of the worker directory are batched, in milliseconds: heartbeats never pause.
 */
const DIRECTORY_BATCH_MS = 250;

/**
 * Age of the view of workers up to which they are, in milliseconds. After that the next answer of a slow store
 * would come when the view is too old.
 */
const MAX_BATCHED_DIRECTORY_AGE_MS = 800;

/**
 * Time since the last confirmation of the owner's lease up to which the store counts as reachable, in
 * milliseconds.
 */
const MAX_STORE_ANSWER_AGE_MS = 1_000;

/** Longest wait until the last changes of a term are stored, in milliseconds. */
const MAX_FINAL_WRITE_MS = 600;

/**
 * Wait before a task is started again after a worker refused it or lost its run, in milliseconds.
 */
const REFUSED_START_BACKOFF_MS = 100;

/**
 * Pause after a pass that started all it could, in milliseconds: leaves most of the CPU to calls.
 */
const restAfter = (tookMs: number): number =>
  Math.max(MIN_PASS_REST_MS, Math.min(MAX_PASS_REST_MS, PASS_REST_FACTOR * tookMs));

/** Returns why a run that a worker reports does not count as one of its task; undefined if it does. */
const obstacleToAdoption = (task: OwnedTask | undefined): string | undefined => {
  if (!task) return 'its task is not known';
  if (task.done) return 'its task is done';
  if (task.isElsewhere) return 'its task is in another share';
  if (!task.step.occurrence.job.isOpen) return 'its job is over';
  const [other] = task.runs;
  if (!other || task.step.spec.speculative) return undefined;
  return `its task has run ${other.run} on ${other.agent.id}`;
};

/** Settings and collaborators of a `JobOwner`. */
export interface JobOwnerOptions {
  readonly rooms: ShareCapacityCache;
  /** The share that is owned. */
  readonly share: Share;
  readonly layout: ShareLayout;
  readonly store: TransactionStore;
  readonly workers: TaskWorkerDirectory;
  /** Decides which workers may run a step; undefined if the site has no such service. */
  readonly policy: PolicyService | undefined;
  readonly codec: SiteCodec;
  readonly replica: JobReplica;
  readonly operator: OperatorFollower;
  /** Returns the age of this entry's view of the jobs, in milliseconds. */
  readonly viewAgeMs: () => number;
  /** Asks the store at once for what the replica lacks. */
  readonly refreshReplica: () => Promise<void>;
  readonly clock: Clock;
  readonly recorder: Recorder;
  /** Name of this process; it differs after each start. */
  readonly process: string;
  /** Monotonic time by which this process had started, in milliseconds. */
  readonly processStartedMs: number;
  /** Longest lease that a worker accepts, in milliseconds. */
  readonly holdLimitMs: number;
}

/** Owns one share from its election to the end of the term. */
export class JobOwner implements AgentListener, DirectoryListener {
  private readonly log = partLog('owner');

  private readonly book: JobRegistry;

  private readonly outcomes: TaskOutcomes;

  private readonly fleet: WorkerFleet;

  private readonly launcher: StepLauncher;

  private readonly places: TaskPlaces;

  private readonly runLog: RunLog;

  private readonly watchedRuns: WatchedRuns;

  private readonly directory: WorkerDirectory;

  private readonly directoryFollower: StoreFollower;

  private readonly permissions: StepPermissions;

  private readonly pacing: FillerPacing;

  private readonly watch: RunSupervisor;

  private readonly slowWorkers: SlowWorkerDetector;

  private readonly wakeup: Wakeup;

  private readonly turns: OrderBatcher;

  private journal!: ProgressJournal;

  private exchange: ShareExchange | undefined;

  /** True once the share is taken over. */
  private hasBegun = false;

  /** Monotonic time at which the pause of the last task is over whose run was lost, in milliseconds. */
  private lastBackoffEndMs = 0;

  /** True while a pass is due at the end of such a pause. */
  private isBackoffAwaited = false;

  private readonly gangStops = new GangStops();

  /** True while the last changes of the term are being stored: nothing is started meanwhile. */
  private isHandingOver = false;

  /** Monotonic time at which the term began, in milliseconds. */
  private readonly ownedSinceMs: number;

  /**
   * @param options - settings and collaborators
   * @param term - the term to serve
   */
  constructor(
    private readonly options: JobOwnerOptions,
    private readonly term: Term,
  ) {
    this.ownedSinceMs = options.clock.monotonicMs();
    this.wakeup = new Wakeup(options.clock);
    this.turns = new OrderBatcher(options.clock);
    this.book = new JobRegistry(options.operator, options.clock);
    this.outcomes = new TaskOutcomes(this.book, options.clock, options.viewAgeMs);
    const isStoreReachable = (): boolean => this.isStoreReachable();
    this.fleet = new WorkerFleet({
      notBeyondMs: (revision) => options.replica.history.notBeyondMs(revision),
      makeAgent: (description) => this.createAgent(description),
      clock: options.clock,
      fencingToken: term.fencingToken,
      onUsable: () => this.wakeup.wake(),
      onUnreached: (agent) => this.watchedRuns.noteDoubt(agent),
      isStoreReachable,
      isSoleOwner: () => this.isSoleOwner(),
      wasSoleOwnerAt: (timeMs) => this.wasSoleOwnerAt(timeMs),
      processEndedMs: (owner) => this.processEndedMs(owner),
    });
    this.watch = new RunSupervisor(this.fleet, options.clock);
    this.slowWorkers = new SlowWorkerDetector(this.fleet, options.clock);
    const interference = new Interference();
    this.permissions = new StepPermissions(options.policy, options.clock, () => this.wakeup.wake());
    this.places = new TaskPlaces(this.book, this.fleet, options.clock);
    this.runLog = new RunLog({ ...options, fleet: this.fleet, term });
    this.watchedRuns = new WatchedRuns({
      book: this.book,
      outcomes: this.outcomes,
      fleet: this.fleet,
      clock: options.clock,
      fencingToken: term.fencingToken,
    });
    this.directory = new WorkerDirectory(options.codec, this, options.clock);
    this.directoryFollower = new StoreFollower(
      options.store,
      options.codec.workersPrefix,
      this.directory,
      options.clock,
      {
        pollDelayMs: () => this.directoryPollDelayMs(),
        holdMs: () => this.directory.longestHoldMs(),
      },
    );
    this.launcher = new StepLauncher({
      book: this.book,
      fleet: this.fleet,
      operator: options.operator,
      clock: options.clock,
      term,
      interference,
      permissions: this.permissions,
      slowWorkers: this.slowWorkers,
      viewAgeMs: options.viewAgeMs,
      directoryAgeMs: () => this.directoryFollower.viewAgeMs(),
      turns: this.turns,
      isStoreReachable,
      places: this.places,
      runLog: this.runLog,
      onStart: (task, run, agent) => this.watchedRuns.noteStart(task, run, agent),
    });
    this.pacing = new FillerPacing(this.fleet, interference, options.clock);
  }

  /** Takes over the share, then serves it until the term ends. */
  async serve(): Promise<void> {
    const { options, term } = this;
    const { signal } = term;
    const { share } = options;
    const keys = keysOfShare(share.id);
    const isDivided = options.layout.shares.length > 1;
    const { directory, directoryFollower: follower } = this;
    // Former owners have seen no newer directory than this one, since their rosters are fenced off by then.
    const onFenced = (): void => follower.listAhead(signal);
    const takeover = await takeOver({ ...options, share: share.id, isDivided, onFenced }, term);
    if (!takeover || signal.aborted) return;
    this.journal = takeover.journal;
    this.book.startTerm(
      this.journal,
      keys,
      term.fencingToken,
      takeover.firstRun,
      takeover.progress,
    );
    const endUnlessOwner = (owner: OwnerRecord | undefined): void => {
      if (owner?.revision !== term.fencingToken) term.stepDown('the lease is another one');
    };
    // The replica may have learned of a successor during the takeover.
    endUnlessOwner(options.replica.shares.owner(share.id));
    if (signal.aborted) return;
    this.homeJobs().forEach((job) => this.book.add(job));
    const stopListening = options.replica.listen({
      share: share.id,
      onAccepted: (job) => {
        this.book.add(job);
        this.wakeup.wake();
      },
      onCancelled: (jobId, requestedAtMs) => this.outcomes.cancel(jobId, requestedAtMs),
      onOwner: endUnlessOwner,
    });
    this.book.refreshQueues();
    this.book.openJobs().forEach((job) => {
      if (options.replica.isCancelled(job.id)) this.outcomes.cancel(job.id);
      else this.outcomes.failRestoredIfExhausted(job);
    });
    const writing = this.journal.run(signal);
    const exchanging = this.startExchange(takeover);
    await this.exchange?.restore(signal);
    this.watchedRuns.beginTerm(this.journal, keys, takeover.watchedRuns);
    this.fleet.beginTerm(this.journal, keys, takeover.workers);
    this.hasBegun = true;
    this.log.info('Took over', {
      share: share.id,
      fencingToken: term.fencingToken,
      formerOwner: takeover.formerOwner,
      jobs: this.book.openJobs().length,
      progress: takeover.progress.size,
      placed: this.book.openJobs().filter(({ hasStoredPlaces }) => hasStoredPlaces).length,
      firstRun: takeover.firstRun,
      suspects: takeover.workers.roster?.length,
      countedDown: takeover.workers.leaseEnds.leases.length,
      isHandedOver: Number.isFinite(takeover.workers.leaseEnds.othersEndMs),
      sinceLossMs: Math.round(options.clock.monotonicMs() - takeover.workers.lastLossMs),
    });
    await Promise.all([
      writing,
      exchanging,
      follower.run(signal),
      this.runPasses(directory),
      new SummaryWriter(
        {
          share: share.id,
          book: this.book,
          fleet: this.fleet,
          operator: options.operator,
          clock: options.clock,
          hasOtherShares: options.layout.shares.length > 1,
          revision: () => options.replica.revision(),
          untriedMilliCores: () => this.launcher.untriedMilliCores,
        },
        this.journal,
        keys,
      ).run(signal),
      this.permissions.run(signal),
      new JobRetention(share.id, options.replica, this.book, options.clock).run(signal),
    ]);
    stopListening();
    this.fleet.close();
    this.runLog.close();
    this.log.info('The term is over', { share: share.id, fencingToken: term.fencingToken });
  }

  /**
   * Explains why the tasks of a job wait, or where they run.
   *
   * @param jobId - id of the job
   * @returns the explanation; undefined if no job of that id is open in this share
   */
  explain(jobId: string): ShareJobExplanation | undefined {
    const [job] = this.book.findAll(jobId);
    if (!job) return undefined;
    const { id: share } = this.options.share;
    return {
      share,
      home: job.delegation?.home ?? share,
      ...this.launcher.explain(job),
      delegations: this.exchange?.delegationsOf(jobId) ?? [],
    };
  }

  /**
   * Stores what a successor needs, at the end of a term that another entry is to follow. No lease is extended
   * any more once the owner is sure to have its own, and none for longer than now until then.
   *
   * @param whenRenewed - resolves to false if the store does not confirm the owner's lease
   */
  async prepareHandover(whenRenewed: Promise<boolean>): Promise<void> {
    if (this.hasBegun) this.fleet.limitLeases();
    const isRenewed = await whenRenewed;
    if (!isRenewed || !this.hasBegun || !this.isStoreReachable()) {
      this.fleet.unlimitLeases();
      return;
    }
    this.isHandingOver = true;
    this.fleet.finishLeases();
    const { clock } = this.options;
    await settleInTime(clock, callWithin(clock, MAX_FINAL_WRITE_MS), this.whenStored());
    this.isHandingOver = false;
  }

  /** @returns the state of the term */
  status(): TermStatus {
    const { away = 0, guests = 0 } = this.exchange?.counts() ?? {};
    const nowMs = this.options.clock.monotonicMs();
    return {
      share: this.options.share.id,
      fencingToken: this.term.fencingToken,
      waitsForFormerOwner: this.fleet.hasUnreportedWorkers,
      isCertain: this.isSoleOwner(),
      ownedForMs: Math.round(nowMs - this.ownedSinceMs),
      delegationsAway: away,
      delegationsTaken: guests,
    };
  }

  /** @returns the state of the share's workers */
  workers(): readonly WorkerStatus[] {
    return this.fleet.all().map((agent) => ({
      share: this.options.share.id,
      worker: agent.id,
      dataCentre: agent.description.dataCentre,
      phase: agent.isUnlisted ? 'unlisted' : agent.description.phase,
      takesWork: agent.takesWork,
      answers: agent.isResponsive,
      runs: agent.runCount,
      freeMilliCores: agent.free().milliCores,
      freeMemoryMb: agent.free().memoryMb,
    }));
  }

  onWorker(description: WorkerDescription, laterThan: number | undefined): void {
    const { layout, share } = this.options;
    if (layout.shareOfWorker(description).id !== share.id) {
      this.fleet.markUnlisted(description.id);
      return;
    }
    const isNew = this.fleet.updateWorker(description, laterThan);
    if (isNew || description.phase === 'draining') this.wakeup.wake();
  }

  onUnlisted(id: string): void {
    this.fleet.markUnlisted(id);
  }

  onUnknownRun(agent: WorkerAgent, report: RunReport): OwnedRun | undefined {
    const task = this.book.findTask(report.taskId);
    const obstacle = obstacleToAdoption(task);
    if (!task || obstacle !== undefined) {
      this.log.warn('A reported run is not adopted', {
        taskId: report.taskId,
        run: report.run,
        worker: agent.id,
        reason: obstacle,
      });
      return undefined;
    }
    task.nextRun = Math.max(task.nextRun, report.run + 1);
    return agent.trackRun(task, report.run, reservedSizeOf(task), 'running');
  }

  onRunsAdopted(agent: WorkerAgent, runs: readonly OwnedRun[]): void {
    this.runLog.noteAdoption(agent.id, runs);
  }

  onRunBegun(run: OwnedRun): void {
    this.markBegun(run.task.step.occurrence.job);
    this.places.noteRun(run);
  }

  sizeOfUnknownRun(taskId: string): Size | undefined {
    const job = this.options.replica.find(jobIdOfTask(taskId));
    const step = job?.accepted.job.steps[Number(taskId.split('.')[2])];
    return step ? reservedSizeOfStep(step) : undefined;
  }

  onRunEnd(agent: WorkerAgent, run: OwnedRun | undefined, end: RunEnd, shownMs: number): void {
    const task = this.book.findTask(end.taskId);
    this.runLog.noteEnd(task, { worker: agent.id, run, end, shownMs });
    this.options.recorder.count('run_ends', { kind: end.kind });
    if (!task) return;
    const { job } = task.step.occurrence;
    this.markBegun(job);
    task.nextRun = Math.max(task.nextRun, end.run + 1);
    if (end.checkpoint !== '') task.checkpoint = end.checkpoint;
    this.fleet.recordRunEnd(agent, task, end.kind);
    job.isFullyStarted = false;
    if (run) this.places.noteEnd(run);
    if (end.kind === 'done' && run) recordDoneRate(run, shownMs);
    if (end.kind === 'done') this.outcomes.markDone(task);
    if (end.kind === 'failed') this.outcomes.recordFailure(task, agent.id, end.run);
    this.watchedRuns.noteEnd({ task, run: end.run });
    this.wakeup.wake();
  }

  onRunLost(run: OwnedRun, reason: string): void {
    const { task } = run;
    this.options.recorder.count('runs_gone');
    this.runLog.noteLoss(run, reason);
    task.notBeforeMs = this.options.clock.monotonicMs() + REFUSED_START_BACKOFF_MS;
    this.lastBackoffEndMs = task.notBeforeMs;
    this.wakeAfterBackoff().catch((error: unknown) => {
      this.log.error('The pauses of tasks are not followed', { reason: String(error) });
    });
    task.step.occurrence.job.isFullyStarted = false;
    this.places.noteEnd(run);
    this.watchedRuns.noteEnd(run);
    this.gangStops.stopOthers(run);
    this.wakeup.wake();
  }

  /** Has a pass made when the pause of a task is over, and not only after the longest wait for an event. */
  private async wakeAfterBackoff(): Promise<void> {
    if (this.isBackoffAwaited) return;
    this.isBackoffAwaited = true;
    const { clock } = this.options;
    const { signal } = this.term;
    while (!signal.aborted && clock.monotonicMs() < this.lastBackoffEndMs) {
      await clock.sleep(this.lastBackoffEndMs - clock.monotonicMs(), signal);
      this.wakeup.wake();
    }
    this.isBackoffAwaited = false;
  }

  onStartUnanswered(run: OwnedRun): void {
    const { task, agent } = run;
    task.failedWorkerIds = new Set([...task.failedWorkerIds, agent.id]);
    this.gangStops.stopOthers(run);
  }

  onCrash({ id, description: { address } }: WorkerAgent, runs: readonly OwnedRun[]): void {
    runs.forEach(({ task, run }) =>
      this.outcomes.recordCrash({ task, run, worker: id }, address, runs.length === 1),
    );
  }

  onRunProven(run: OwnedRun): void {
    this.outcomes.clearCrashes(run.task);
    this.watchedRuns.noteProven(run);
  }

  onTicketRefused({ task, agent }: OwnedRun): void {
    this.permissions.dropTicket(task.step, agent.id);
  }

  onChange(): void {
    this.wakeup.wake();
  }

  onFenced(agent: WorkerAgent): void {
    this.fleet.markFenced(agent);
    this.wakeup.wake();
  }

  onRestarted(): void {
    this.fleet.markRestarted();
  }

  onReplaced(agent: WorkerAgent): void {
    this.watchedRuns.settle(agent, true);
    this.fleet.markReplaced(agent);
    this.wakeup.wake();
  }

  onFullReport(agent: WorkerAgent): void {
    this.watchedRuns.settle(agent, false);
    this.fleet.markAccountedFor(agent, 'it has reported its runs and ends');
    this.wakeup.wake();
  }

  onStaleToken(agent: WorkerAgent): void {
    this.term.stepDown(`worker ${agent.id} has seen a higher fencing token`);
  }

  whenStored(): Promise<boolean> {
    return this.journal.waitUntilStored(this.journal.newestSequence());
  }

  /** Only a site with several shares has other owners to exchange tasks with. */
  private startExchange(takeover: TakeoverState): Promise<void> | undefined {
    const { options, term, book, fleet, outcomes } = this;
    if (options.layout.shares.length === 1) return undefined;
    this.exchange = new ShareExchange({
      ...options,
      share: options.share.id,
      fencingToken: term.fencingToken,
      book,
      outcomes,
      takeover,
      unconfirmedMs: () => term.leaseUnconfirmedMs(),
      outlookFor: (task) => this.launcher.outlookFor(task),
      roomForInterrupted: () =>
        roomForInterrupted(
          fleet.all(),
          fleet.usable(options.operator.view().evacuated),
          book.openJobs(),
        ),
      onNews: () => this.wakeup.wake(),
    });
    return this.exchange.run(term.signal);
  }

  private markBegun(job: OwnedJob): void {
    if (job.hasStarted) return;
    const owned = job;
    owned.hasStarted = true;
    // Callers learn from the home share that a delegated job has begun, so it is reported there.
    if (job.isGuest) this.book.saveProgress(job);
  }

  private isStoreReachable(): boolean {
    return this.term.leaseUnconfirmedMs() <= MAX_STORE_ANSWER_AGE_MS;
  }

  /** Tells whether no other owner can have granted a lease yet. */
  private isSoleOwner(): boolean {
    return this.options.clock.monotonicMs() < this.term.leaseValidUntilMs();
  }

  /**
   * Tells whether no other owner can have granted a lease until a time. The store may end the owner's lease
   * before its time to live is over, so only a renewal that was sent later proves it.
   */
  private wasSoleOwnerAt(timeMs: number): boolean {
    const { term } = this;
    const nowMs = this.options.clock.monotonicMs();
    const isProved = nowMs - term.leaseUnconfirmedMs() >= timeMs;
    if (!isProved && nowMs >= timeMs) term.confirmSoon();
    return isProved;
  }

  /**
   * Returns a time by which the process of a former owner had ended: another one of its machine has started since.
   * Infinite while none is known to have.
   */
  private processEndedMs({ process, fencingToken }: FormerOwner): number {
    const { process: ownProcess, processStartedMs, replica } = this.options;
    if (process === ownProcess) return Number.POSITIVE_INFINITY;
    if (machineOf(process) === machineOf(ownProcess)) return processStartedMs;
    const newest = replica.processes.newestBeside(process);
    // A record from before its term is of a process that ran before it.
    if (!newest || newest.process === process || newest.revision <= fencingToken)
      return Number.POSITIVE_INFINITY;
    return replica.history.writtenByMs(newest.revision) - newest.ageMs;
  }

  /** An old view is read again at once, since starts wait for it. */
  private directoryPollDelayMs(): number {
    const isOld = this.directoryFollower.viewAgeMs() > MAX_BATCHED_DIRECTORY_AGE_MS;
    return isOld ? 0 : DIRECTORY_BATCH_MS;
  }

  private homeJobs(): readonly ReplicatedJob[] {
    const { replica, share } = this.options;
    return replica.openJobs().filter((job) => replica.homeOf(job) === share.id);
  }

  private createAgent(description: WorkerDescription): WorkerAgent {
    const { options, term } = this;
    const agent: WorkerAgent = new WorkerAgent({
      description,
      connect: (address) => options.workers.connect(description.id, address),
      clock: options.clock,
      fencingToken: term.fencingToken,
      maxLeaseMs: options.holdLimitMs,
      listener: this,
      signal: term.signal,
      batcher: this.turns,
      isSoleOwner: () => this.isSoleOwner(),
      wasSoleOwnerAt: (timeMs) => this.wasSoleOwnerAt(timeMs),
      mayExtendLease: () =>
        term.leaseUnconfirmedMs() <= MAXIMUM_UNCONFIRMED_MS && this.fleet.mayExtendLease(agent),
      leaseLimitMs: () => this.fleet.leaseLimitMs(agent),
      extensionLimitMs: () => this.fleet.extensionLimitMs(agent),
    });
    return agent;
  }

  private async runPasses(directory: WorkerDirectory): Promise<void> {
    const { clock } = this.options;
    const { signal } = this.term;
    let restMs = MIN_PASS_REST_MS;
    while (!signal.aborted) {
      await this.wakeup.wait(MAX_PASS_WAIT_MS, signal);
      await clock.sleep(restMs, signal);
      if (signal.aborted) return;
      const startMs = clock.monotonicMs();
      const startsBefore = this.launcher.totalStarts;
      if (directory.complete) this.fleet.onDirectoryRead();
      this.fleet.maintain();
      this.watchedRuns.maintain();
      this.watch.check();
      this.slowWorkers.check();
      this.pacing.adjust();
      if (!this.isHandingOver) this.launcher.pass(directory.complete);
      this.launcher.reportLongWaits();
      this.runLog.writeDue();
      this.exchange?.check(this.launcher.unplaced());
      const tookMs = clock.monotonicMs() - startMs;
      this.recordPass(tookMs, this.launcher.totalStarts - startsBefore);
      // Answers that arrived meanwhile are read in the pause, even if the next pass is due at once.
      if (this.launcher.isCutShort) this.wakeup.wake();
      restMs = this.launcher.isCutShort ? MIN_PASS_REST_MS : restAfter(tookMs);
    }
  }

  private recordPass(tookMs: number, starts: number): void {
    this.options.recorder.time('pass', { taskClass: 'owner', tenant: 'owner' }, tookMs);
    if (tookMs < SLOW_PASS_MS) return;
    const { slowestStep } = this.launcher;
    this.log.warn('A pass took long', {
      tookMs: Math.round(tookMs),
      starts,
      openJobs: this.book.openJobs().length,
      slowestStep: slowestStep?.step.id,
      slowestStepMs: slowestStep && Math.round(slowestStep.tookMs),
      tasksOfSlowestStep: slowestStep?.step.tasks.length,
    });
  }
}
