/**
 * The owner's connection to one worker: extends its lease by long polls, tracks its runs and the
 * resources that they use, and sends it orders.
 */
import { setMaxListeners } from 'node:events';

import type { Failure } from '../../failure.js';
import type {
  Holding,
  HoldOutcome,
  RunEnd,
  RunReport,
  TaskWorker,
  WorkerDescription,
} from '../../infrastructure/taskWorker.js';
import { countFitting } from '../../infrastructure/sizes.js';
import type { Size } from '../../infrastructure/worker.js';
import { partLog } from '../../observability/log.js';
import type { Result } from '../../results.js';
import { onAbort } from '../../time/abortListeners.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';
import { Wakeup } from '../../time/wakeup.js';

import type { OwnedRun, OwnedTask, RunAgent } from '../model/ownedJob.js';
import { GuardedTaskWorker } from './guardedTaskWorker.js';
import type { OrderBatcher } from './orderBatcher.js';
import { MIN_CLOCK_RATE, WorkerClock } from './workerClock.js';
import { ORDER_TIMEOUT_MS, WorkerOrders, type OrderContext } from './workerOrders.js';
import { markConfirmed, WorkerRuns } from './workerRuns.js';

/** How long a worker may delay the answer to a long poll until a run ends, in milliseconds. */
const POLL_WAIT_MS = 1_000;

/**
 * The same while fillers run beside a task with a latency target, in milliseconds: workers report
 * its tail latency every half second.
 */
const SHORT_POLL_WAIT_MS = 500;

/**
 * Shortest time between an answer of a worker and the next poll, in milliseconds. Each poll has a
 * cost, and ends that arrive meanwhile share one.
 */
const POLL_GAP_MS = 50;

/**
 * Time between polls of a worker that does not answer or whose run ends cannot be stored, in
 * milliseconds.
 */
const RETRY_MS = 400;

/**
 * Time until a poll is repeated whose answer showed the end of the incarnation, in milliseconds: the store
 * is asked meanwhile whether there may be another owner.
 */
const PROOF_MS = 150;

/** Longest time until the end of a worker's last run is acknowledged, in milliseconds. */
const MAX_ACKNOWLEDGE_DELAY_MS = 1_200;

/**
 * Time at work after which a run is not the cause of a crash of its worker, in milliseconds: tasks
 * that crash workers do so soon after their start.
 */
const PROVEN_AFTER_MS = 3_000;

/**
 * Time between polls of a worker without runs, in milliseconds. Its clock may run faster than the lower
 * bound meanwhile, which shortens the lease of the next start.
 */
const IDLE_POLL_INTERVAL_MS = 60_000;

/** Longest time for which a restart goes unnoticed, in milliseconds: until the next poll is answered or not. */
const MAX_UNNOTICED_MS = IDLE_POLL_INTERVAL_MS + POLL_WAIT_MS + ORDER_TIMEOUT_MS;

/** Least time from an answer of a worker to the first one of its next incarnation, in milliseconds. */
const MIN_RESTART_MS = 2_300;

/** Sequence number that acknowledges no run end. */
const ACKNOWLEDGE_NONE = 0;

/**
 * Number of failed polls in a row after which a worker counts as unresponsive and gets no new work.
 */
const FAILED_POLLS_UNTIL_UNRESPONSIVE = 1;

/** Longest lease granted by one call, in milliseconds. */
const MAX_LEASE_MS = 6_000;

/** A worker may begin to count a lease this much later than expected, in milliseconds. */
const LEASE_EXPIRY_MARGIN_MS = 250;

/**
 * Assumed time until a draining worker leaves if its description does not state it, in
 * milliseconds.
 */
export const DEFAULT_REMAINING_MS = 2_000;

/** What is known of when a worker announced that it leaves. */
export interface DrainAnnouncement {
  /** Revision of the store at which the worker had not announced it. */
  readonly laterThan: number;
  /** Monotonic time at which the store had not gone beyond that revision, in milliseconds. */
  readonly notBeforeMs: number;
}

/** Receives the events of a worker agent. */
export interface AgentListener {
  /**
   * The worker reports a run that the agent does not track: a former owner started it, or it was
   * considered lost.
   *
   * @returns the run, which the agent tracks from now on; undefined to stop it
   */
  onUnknownRun(agent: WorkerAgent, report: RunReport): OwnedRun | undefined;
  /**
   * An answer of the worker has been read that reported such runs.
   *
   * @param runs - those that the agent tracks from now on
   */
  onRunsAdopted(agent: WorkerAgent, runs: readonly OwnedRun[]): void;
  /**
   * Returns the resources of a run that belongs to no open task; undefined if its job is not known.
   */
  sizeOfUnknownRun(taskId: string): Size | undefined;
  /** The worker has begun a run, according to its answer to the start or to a poll. */
  onRunBegun(run: OwnedRun): void;
  /**
   * The worker reported the end of a run.
   *
   * @param shownMs - monotonic time at which the worker made the report, in milliseconds
   */
  onRunEnd(agent: WorkerAgent, run: OwnedRun | undefined, end: RunEnd, shownMs: number): void;
  /**
   * A run is over without a reported end: it never ran, its lease expired or its worker restarted.
   */
  onRunLost(run: OwnedRun, reason: string): void;
  /** The worker did not answer a start in time; whether it carries it out is unknown. */
  onStartUnanswered(run: OwnedRun): void;
  /**
   * The worker has crashed. Called before its runs are reported as lost.
   *
   * @param runs - the runs that may be the cause
   */
  onCrash(agent: WorkerAgent, runs: readonly OwnedRun[]): void;
  /** A run was reported at work for so long that it does not crash its worker. */
  onRunProven(run: OwnedRun): void;
  /** The worker refused the ticket of the policy service that a start carried. */
  onTicketRefused(run: OwnedRun): void;
  /** The worker answers again, or no longer answers. */
  onChange(agent: WorkerAgent): void;
  /** The worker has accepted this owner's fencing token for the first time. */
  onFenced(agent: WorkerAgent): void;
  /** The worker has started again under its id. Called after its runs are reported as lost. */
  onRestarted(agent: WorkerAgent): void;
  /**
   * Another worker answers at the worker's address: nothing of the worker runs any more. Called after
   * its runs are reported as lost.
   */
  onReplaced(agent: WorkerAgent): void;
  /** For the first time, the worker has reported all its runs and all their ends. */
  onFullReport(agent: WorkerAgent): void;
  /** The worker knows a newer fencing token: another owner has taken over. */
  onStaleToken(agent: WorkerAgent): void;
  /** Resolves to true once all events so far are stored, to false if they cannot be stored. */
  whenStored(): Promise<boolean>;
}

/** Options of a worker agent. */
export interface AgentOptions {
  readonly description: WorkerDescription;
  /** Creates a client for an address of the worker. */
  readonly connect: (address: string) => TaskWorker;
  readonly clock: Clock;
  readonly fencingToken: number;
  /** Longest lease that workers accept, in milliseconds. */
  readonly maxLeaseMs: number;
  readonly listener: AgentListener;
  readonly signal: AbortSignal;
  /** Limits how many orders and polls of all workers are sent at once. */
  readonly batcher: OrderBatcher;
  /** Returns true if no other owner can have granted a lease yet. */
  readonly isSoleOwner: () => boolean;
  /** Returns true if no other owner can have granted a lease until a monotonic time in milliseconds. */
  readonly wasSoleOwnerAt: (timeMs: number) => boolean;
  /** Returns true if the worker's lease may be extended: no successor can count it as expired yet. */
  readonly mayExtendLease: () => boolean;
  /**
   * Returns the monotonic time in milliseconds by which a successor may count the worker's lease as over;
   * infinite if it goes by no record.
   */
  readonly leaseLimitMs: () => number;
  /** Returns the monotonic time in milliseconds beyond which this owner extends no lease; infinite without one. */
  readonly extensionLimitMs: () => number;
}

/** Represents one worker to its owner: tracks its runs, polls it and sends it orders. */
export class WorkerAgent implements RunAgent {
  description: WorkerDescription;

  /** True while the worker is missing from the directory. */
  isUnlisted = false;

  /** Number of polls that the worker has answered with its runs. */
  pollCount = 0;

  /**
   * Monotonic time at which the newest poll was sent by whose answer the worker knew no higher fencing
   * token, in milliseconds.
   */
  answeredMs = Number.NEGATIVE_INFINITY;

  /** When the incarnation of the worker started that answered last, in Unix milliseconds. */
  bornMs: number | undefined;

  /** Monotonic time until which the worker gets no new work. */
  avoidUntilMs = 0;

  private readonly log = partLog('worker');

  private worker: TaskWorker;

  private readonly runs: WorkerRuns;

  private readonly orders: WorkerOrders;

  private readonly workerClock: WorkerClock;

  private readonly wakeup: Wakeup;

  private readonly closed = new AbortController();

  private fenced = false;

  private isReported = false;

  private earliestLeaveMs: number | undefined;

  private announcement: DrainAnnouncement | undefined;

  private announcedStayMs: number | undefined;

  /**
   * True from when another worker has answered at the address until the directory has news of the
   * worker.
   */
  private isReplaced = false;

  /** True if the worker lists further ends once the seen ones are acknowledged. */
  private hasMoreEnds = false;

  private failedPolls = 0;

  /** Monotonic time by which the newest poll should be answered, in milliseconds. */
  private answerDueMs = 0;

  /**
   * Monotonic time at which the first of the failed polls failed, or should have been answered, in
   * milliseconds.
   */
  private silentSinceMs = 0;

  private descriptionChanges = 0;

  /**
   * Monotonic time at which the incarnation whose clock is known was certainly there, in milliseconds, and
   * its clock at the newest answer.
   */
  private aliveMs = Number.NEGATIVE_INFINITY;

  private aliveAtWorkerMs = 0;

  /** The incarnation that answered last while there was no other owner. */
  private soleBornMs: number | undefined;

  /**
   * Newest incarnation known when the worker last reported its own, from the worker or from the
   * directory: its time of birth in Unix milliseconds.
   */
  private knownBornMs = 0;

  /**
   * True from when the worker has reported a younger incarnation than its description is of. It may
   * be a machine of another kind.
   */
  private isDescriptionOutdated = false;

  /** Monotonic time at which the newest incarnation was noticed, in milliseconds. */
  private incarnationSinceMs = Number.NEGATIVE_INFINITY;

  /**
   * Monotonic time of the first answer that showed the end of the incarnation, in milliseconds; undefined
   * before that.
   */
  private shownOverMs: number | undefined;

  /** Latest end that the worker's lease can have, in milliseconds of the worker's clock. */
  private leaseUntilMs = 0;

  /**
   * Monotonic time at which an order last carried a lease end although the worker may have started again
   * unnoticed, in milliseconds.
   */
  private uncertainGrantMs = Number.NEGATIVE_INFINITY;

  /**
   * Runs of which the worker has shown that they belong to the incarnation whose clock is known. Others may
   * be of a later incarnation, whose restart was not noticed.
   */
  private readonly attributedRuns = new WeakSet<OwnedRun>();

  /** Resolve the waits for the next answer of the worker, or for the failure of a poll. */
  private pollWaiters: readonly (() => void)[] = [];

  /** Monotonic time at which this owner learned of the worker, in milliseconds. */
  private readonly knownSinceMs: number;

  private seenSequence = 0;

  private storedSequence = 0;

  /**
   * Runs that were lost while the worker did not answer and may have crashed it. Forgotten if the
   * same incarnation answers again.
   */
  private unexplainedRuns: OwnedRun[] = [];

  private acknowledgedSequence = 0;

  /**
   * @param options - the worker, its clock and its listener
   */
  constructor(private readonly options: AgentOptions) {
    this.description = options.description;
    this.knownSinceMs = options.clock.monotonicMs();
    this.earliestLeaveMs = this.earliestLeaveOf(options.description, false);
    this.worker = this.connect(options.description);
    this.workerClock = new WorkerClock(options.clock);
    this.wakeup = new Wakeup(options.clock);
    this.runs = new WorkerRuns(options.clock);
    this.orders = new WorkerOrders(this.orderContext());
    // Every order in progress adds a listener.
    setMaxListeners(0, this.closed.signal);
    onAbort(options.signal, () => this.closed.abort());
  }

  /** @returns the worker's id */
  get id(): string {
    return this.description.id;
  }

  /**
   * @returns true once the worker knows this owner's fencing token and refuses orders of former
   * owners
   */
  get isFenced(): boolean {
    return this.fenced;
  }

  /**
   * @returns how long the worker can hold a lease at most unless this owner extends it, in
   * milliseconds; undefined before the worker has answered it
   */
  get leaseLeftMs(): number | undefined {
    if (!this.fenced) return undefined;
    return Math.max(0, this.leaseEndMs - this.options.clock.monotonicMs());
  }

  /** @returns false if no lease can be left on the worker, or if it has not answered this owner */
  get mayHoldLease(): boolean {
    return this.fenced && this.options.clock.monotonicMs() < this.leaseEndMs;
  }

  /** @returns for how long the worker has owed an answer, in milliseconds; 0 while it answers */
  get silentMs(): number {
    return this.isResponsive ? 0 : this.options.clock.monotonicMs() - this.silentSinceMs;
  }

  /** @returns true while the worker answers polls */
  get isResponsive(): boolean {
    return this.failedPolls < FAILED_POLLS_UNTIL_UNRESPONSIVE;
  }

  /** @returns true if new tasks may be started on the worker */
  get takesWork(): boolean {
    return (
      this.isReported &&
      this.isResponsive &&
      !this.isUnlisted &&
      !this.hasRestarted &&
      !this.isDescriptionOutdated &&
      this.description.phase === 'ready' &&
      this.options.clock.monotonicMs() >= this.avoidUntilMs
    );
  }

  /** @returns all runs that may be in progress on the worker */
  activeRuns(): readonly OwnedRun[] {
    return this.runs.all();
  }

  /**
   * @returns monotonic time until which a draining worker stays at least, in milliseconds; undefined while
   *   it doesn't drain
   */
  get leavesAtMs(): number | undefined {
    return this.earliestLeaveMs;
  }

  /**
   * @returns revision of the store at which a draining worker had not announced that it leaves; undefined if
   *   none is known
   */
  get drainsLaterThan(): number | undefined {
    return this.announcement?.laterThan;
  }

  /**
   * @returns minimum time from its announcement until a draining worker leaves, in milliseconds; undefined if
   *   not known
   */
  get announcedRemainingMs(): number | undefined {
    return this.announcement && this.announcedStayMs;
  }

  /** @returns the runs among them whose step has a latency target */
  servingRuns(): readonly OwnedRun[] {
    return this.runs.serving();
  }

  /** @returns the runs among them that are fillers */
  fillerRuns(): readonly OwnedRun[] {
    return this.runs.fillers();
  }

  /** @returns number that differs once the worker's runs, resources or description have changed */
  get version(): number {
    return this.runs.changes + this.descriptionChanges;
  }

  /** @returns number of runs that may be in progress on the worker */
  get runCount(): number {
    return this.runs.count;
  }

  /**
   * @returns true if the worker has reported all its runs and ends to this owner, has no runs, and all its
   * ends are stored
   */
  get isVacant(): boolean {
    return (
      this.fenced &&
      this.isReported &&
      !this.hasMoreEnds &&
      this.runs.count === 0 &&
      this.runs.unknownCount === 0 &&
      this.storedSequence >= this.seenSequence
    );
  }

  /** @returns number of its runs that may still crash the worker */
  get unprovenRunCount(): number {
    return this.activeRuns().filter(({ isProven }) => !isProven).length;
  }

  /** @returns true while a task that is suspected of crashing workers is tried alone here */
  get hasTrial(): boolean {
    return this.runs.hasTrial;
  }

  /** @returns the worker's free resources, without those that are held */
  free(): Size {
    return this.runs.free(this.description.capacity);
  }

  /**
   * Checks whether a task fits into the free resources. Nothing fits beside a task on trial.
   *
   * @param size - resources of the task
   * @returns true if it fits
   */
  fits(size: Size): boolean {
    return !this.hasTrial && this.runs.fits(this.description.capacity, size);
  }

  /**
   * Counts how many tasks of one size fit into the free resources.
   *
   * @param size - resources of each task
   * @returns their number; infinite for a task that needs nothing
   */
  countFitting(size: Size): number {
    return this.hasTrial ? 0 : countFitting(size, this.free());
  }

  /**
   * Keeps resources for a run that is about to start.
   *
   * @param size - the resources
   */
  hold(size: Size): void {
    this.runs.hold(size);
  }

  /**
   * Gives resources up that are kept for a run.
   *
   * @param size - the resources
   */
  unhold(size: Size): void {
    this.runs.unhold(size);
  }

  /**
   * Takes over the worker's description from the directory, and its address if that has changed.
   *
   * @param description - the worker's current description
   * @param change - bounds of when it was written first; undefined if not known
   */
  updateDescription(description: WorkerDescription, change?: DrainAnnouncement): void {
    if (description.address !== this.description.address) {
      this.worker.close();
      this.worker = this.connect(description);
      this.answeredMs = Number.NEGATIVE_INFINITY;
    }
    const isSeenToChange = this.description.phase === 'ready' && !this.isUnlisted;
    if (description.phase === 'ready') this.announcement = undefined;
    else if (isSeenToChange) {
      this.announcement = change;
      this.announcedStayMs = description.remainingMs;
    }
    this.earliestLeaveMs = this.earliestLeaveOf(description, isSeenToChange);
    this.description = description;
    this.descriptionChanges += 1;
    if (this.hasRestarted) this.incarnationSinceMs = this.options.clock.monotonicMs();
    this.isDescriptionOutdated = WorkerAgent.isOlder(description, this.bornMs);
    this.isUnlisted = false;
    const mayBeBack = this.isReplaced;
    this.isReplaced = false;
    if (this.hasRestarted || mayBeBack) this.wakeup.wake();
  }

  /**
   * Takes over from a former owner when the worker announced that it leaves, as its description says.
   *
   * @param announcement - bounds of that time
   */
  noteAnnouncement(announcement: DrainAnnouncement): void {
    this.announcement = announcement;
    this.announcedStayMs = this.description.remainingMs;
    this.earliestLeaveMs =
      announcement.notBeforeMs + (this.announcedStayMs ?? DEFAULT_REMAINING_MS);
  }

  /** Closes the agent. The worker's runs go on until their leases expire. */
  close(): void {
    this.closed.abort();
    this.wakeup.wake();
    this.worker.close();
  }

  /** Polls the worker until the agent is closed. */
  async run(): Promise<void> {
    const { signal } = this.closed;
    while (!signal.aborted) {
      if (this.isIdle()) {
        this.endPollWaits();
        await this.wakeup.wait(POLL_WAIT_MS, signal);
        continue;
      }
      try {
        await this.poll(signal);
      } catch (error) {
        this.log.error('A poll of a worker has thrown', { worker: this.id, reason: String(error) });
        this.handleFailedPoll(String(error));
        await this.options.clock.sleep(RETRY_MS, signal);
      }
    }
  }

  /**
   * Starts a task. Its resources are reserved at once.
   *
   * @param task - the task
   * @param runNumber - number of the run
   * @param size - resources to reserve
   * @param ticket - permission of the policy service, if the queue needs one
   * @param whenPlaced - resolves to true once the place of the task is stored, to false if that fails;
   *   undefined if the place need not be stored
   * @param mayStart - asked after a wait; returns false if the order must not be sent any more
   * @returns the run
   */
  start(
    task: OwnedTask,
    runNumber: number,
    size: Size,
    ticket: string | undefined,
    whenPlaced?: Promise<boolean>,
    mayStart: () => boolean = () => true,
  ): OwnedRun {
    const owned = this.trackRun(task, runNumber, size, 'starting');
    const whenPolled = this.isLeaseBounded ? undefined : this.whenPolled();
    const whenReady =
      whenPlaced || whenPolled
        ? Promise.all([whenPlaced ?? true, whenPolled]).then(([isPlaced]) => isPlaced && mayStart())
        : undefined;
    this.orders.start(owned, ticket, whenReady);
    this.wakeup.wake();
    return owned;
  }

  /**
   * Adds a run to those of the worker and reserves its resources.
   *
   * @param task - its task
   * @param runNumber - number of the run
   * @param size - resources that it uses
   * @param phase - phase of the run
   * @returns the run
   */
  trackRun(task: OwnedTask, runNumber: number, size: Size, phase: OwnedRun['phase']): OwnedRun {
    return this.runs.add(this, task, runNumber, size, phase);
  }

  /**
   * Stops a run. Its resources stay reserved until the worker has reported its end.
   *
   * @param run - the run
   * @param reason - reason to log
   */
  stop(run: OwnedRun, reason: string): void {
    this.orders.stop(run, reason);
  }

  /**
   * Limits a run to a part of its processors.
   *
   * @param run - the run
   * @param percent - the part, from 0 to 100
   */
  pace(run: OwnedRun, percent: number): void {
    this.orders.pace(run, percent);
  }

  private connect({ id, address }: WorkerDescription): TaskWorker {
    return new GuardedTaskWorker(id, () => this.options.connect(address));
  }

  private orderContext(): OrderContext {
    const { options, runs } = this;
    const { clock, fencingToken, listener } = options;
    return {
      id: this.id,
      worker: () => this.worker,
      clock,
      fencingToken,
      runs,
      batcher: options.batcher,
      signal: this.closed.signal,
      obstacleTo: (run) => this.obstacleTo(run),
      extendLease: () => this.extendLease(),
      onClockReading: (run, clockMs) => {
        // The clock of a later incarnation is behind that of a former one.
        if (this.workerClock.addReading(clockMs)) this.attributedRuns.add(run);
      },
      toLocalMs: (clockMs) => this.workerClock.toLocalMs(clockMs),
      onRunBegun: (run) => listener.onRunBegun(run),
      onStartUnanswered: (run) => listener.onStartUnanswered(run),
      onRunLost: (run, reason) => this.dropLostRun(run, reason),
      onWorkerGone: (run) => {
        this.noteUnexplained(run);
        this.dropLostRun(run, 'its worker is gone');
      },
      avoidFor: (durationMs) => {
        this.avoidUntilMs = clock.monotonicMs() + durationMs;
      },
      pollSoon: () => this.wakeup.wake(),
      onStaleToken: () => listener.onStaleToken(this),
      onTicketRefused: (run) => listener.onTicketRefused(run),
    };
  }

  /**
   * The directory lists an incarnation of the worker that the worker has not reported itself yet.
   */
  private get hasRestarted(): boolean {
    return this.bornMs !== undefined && this.description.bornMs > this.knownBornMs;
  }

  /** Tells whether a description is of an older incarnation; false if it does not say of which. */
  private static isOlder(description: WorkerDescription, bornMs: number | undefined): boolean {
    return bornMs !== undefined && description.bornMs > 0 && description.bornMs < bornMs;
  }

  /** How old a description is that no owner has seen to change is not known. */
  private earliestLeaveOf(
    { phase, remainingMs }: WorkerDescription,
    isSeenToChange: boolean,
  ): number | undefined {
    if (phase !== 'draining') return undefined;
    const nowMs = this.options.clock.monotonicMs();
    const stayMs = remainingMs ?? DEFAULT_REMAINING_MS;
    const leaveMs = nowMs + stayMs;
    if (isSeenToChange) return leaveMs;
    // Later descriptions state the time that is left then, not that from the announcement on.
    const knownMs = this.earliestLeaveMs ?? nowMs;
    return Math.min(knownMs, leaveMs);
  }

  private obstacleTo(run: OwnedRun): string | undefined {
    if (this.isDescriptionOutdated || run.startedMs <= this.incarnationSinceMs)
      return 'the worker has started again since it was chosen';
    if (!this.runs.areWithin(this.description.capacity))
      return 'the worker has less capacity than when it was chosen';
    return undefined;
  }

  /**
   * Tells whether there is no reason to poll. A worker without runs is polled while there may be another
   * owner: it refuses the fencing token once that has reached it. Otherwise it is polled seldom, for a
   * reading of its clock.
   */
  private isIdle(): boolean {
    if (this.isReplaced) return true;
    return (
      this.options.isSoleOwner() &&
      this.fenced &&
      this.isResponsive &&
      !this.hasRestarted &&
      this.runs.count === 0 &&
      this.runs.unknownCount === 0 &&
      this.acknowledgedSequence >= this.seenSequence &&
      this.options.clock.monotonicMs() < this.answeredMs + IDLE_POLL_INTERVAL_MS
    );
  }

  private dropLostRun(run: OwnedRun, reason: string): void {
    if (!this.runs.drop(run)) return;
    this.log.info('A run is over without a reported end', {
      taskId: run.task.id,
      run: run.run,
      worker: this.id,
      reason,
    });
    this.options.listener.onRunLost(run, reason);
  }

  /**
   * Returns the new lease end to send. An unresponsive worker gets no extension, so that its lease
   * expires and its runs can be started elsewhere. On no clock is the lease longer than successors
   * expect.
   */
  private extendLease(): number | undefined {
    const now = this.workerClock.earliestNowMs;
    if (now === undefined || !this.isResponsive || !this.options.mayExtendLease()) return undefined;
    if (!this.isLeaseBounded) return undefined;
    const { extensionLimitMs } = this.options;
    const untilMs = this.endWithin(Math.floor(now + this.leaseMs()), extensionLimitMs());
    if (untilMs <= now) return undefined;
    this.leaseUntilMs = Math.max(this.leaseUntilMs, untilMs);
    if (this.mayHaveRestarted) this.uncertainGrantMs = this.options.clock.monotonicMs();
    return untilMs;
  }

  /** Tells whether an order that is sent now may arrive at an incarnation that has not answered yet. */
  private get mayHaveRestarted(): boolean {
    // The order may arrive until its timeout.
    return this.options.clock.monotonicMs() + ORDER_TIMEOUT_MS > this.aliveMs + MIN_RESTART_MS;
  }

  /**
   * Tells whether a lease that is sent now lasts no longer than successors expect. An incarnation that has not
   * answered yet would shorten it only to the longest lease that it accepts.
   */
  private get isLeaseBounded(): boolean {
    return this.options.maxLeaseMs <= MAX_LEASE_MS || !this.mayHaveRestarted;
  }

  /** Waits for the next answer of the worker, or for the failure of a poll. */
  private whenPolled(): Promise<void> {
    return new Promise((resolve) => {
      this.pollWaiters = [...this.pollWaiters, resolve];
    });
  }

  private endPollWaits(): void {
    const waiters = this.pollWaiters;
    this.pollWaiters = [];
    waiters.forEach((resolve) => resolve());
  }

  /** Shortens a lease so that it is certainly over by a monotonic time in milliseconds. */
  private endWithin(leaseUntilMs: number, limitMs: number): number {
    const limitAtWorkerMs = Math.floor(this.workerClock.earliestAt(limitMs));
    return Math.min(leaseUntilMs, limitAtWorkerMs - LEASE_EXPIRY_MARGIN_MS);
  }

  /** Monotonic time at which the leases of all runs of the worker have lapsed, in milliseconds. */
  private get leaseEndMs(): number {
    const endsMs = this.activeRuns().map((run) => this.leaseEndOf(run));
    return Math.max(this.knownLeaseEndMs, ...endsMs);
  }

  /** Monotonic time at which the lease of the incarnation has lapsed whose clock is known, in milliseconds. */
  private get knownLeaseEndMs(): number {
    return this.workerClock.latestAt(this.leaseUntilMs + LEASE_EXPIRY_MARGIN_MS);
  }

  /**
   * Returns when the lease of a run has lapsed, as monotonic time in milliseconds. An incarnation whose
   * clock is not known counts from when an order arrives, as long as it accepts.
   */
  private leaseEndOf(run: OwnedRun): number {
    if (this.attributedRuns.has(run)) return this.knownLeaseEndMs;
    const longestMs = this.options.maxLeaseMs / MIN_CLOCK_RATE;
    return Math.max(this.knownLeaseEndMs, this.uncertainGrantMs + ORDER_TIMEOUT_MS + longestMs);
  }

  private pollWaitMs(): number {
    const isMixed = this.fillerRuns().length > 0 && this.servingRuns().length > 0;
    // A lease that ends soon is extended by the next poll.
    const isLimited = Number.isFinite(this.options.leaseLimitMs());
    // Only the next poll shows whether the worker has heard of another owner.
    return isMixed || isLimited || !this.options.isSoleOwner() ? SHORT_POLL_WAIT_MS : POLL_WAIT_MS;
  }

  /**
   * Returns the longest lease that a worker may have by its first answer, in milliseconds. Soon after a
   * restart, former orders may have had lease ends on the clock of the former incarnation: those last for as
   * long as the worker accepts. The clock of an incarnation begins with it.
   */
  private longestLeaseMs({ clockMs }: Holding): number {
    const { maxLeaseMs } = this.options;
    return clockMs < MAX_UNNOTICED_MS + maxLeaseMs ? maxLeaseMs : this.leaseMs();
  }

  private leaseMs(): number {
    return Math.min(MAX_LEASE_MS, this.options.maxLeaseMs);
  }

  private async poll(signal: AbortSignal): Promise<void> {
    const { clock, fencingToken, batcher } = this.options;
    // After an election all workers are polled at once, so polls share the limit of orders.
    await new Promise<void>((resolve) => {
      batcher.enqueue(resolve);
    });
    if (signal.aborted) return;
    const { worker } = this;
    const allStored = this.storedSequence >= this.seenSequence;
    const mayWait =
      this.fenced &&
      this.isResponsive &&
      allStored &&
      this.runs.count > 0 &&
      // The next poll extends the lease.
      this.isLeaseBounded;
    const waitMs = mayWait ? this.pollWaitMs() : 0;
    const sentMs = clock.monotonicMs();
    this.answerDueMs = sentMs + waitMs;
    // The worker may have restarted unnoticed. A sequence number of its former incarnation would
    // make it drop ends that were not read. Only a new number, and not after a failed poll, is
    // therefore sent.
    const isNew = this.failedPolls === 0 && this.storedSequence > this.acknowledgedSequence;
    const acknowledged = isNew ? this.storedSequence : ACKNOWLEDGE_NONE;
    const leaseUntilMs = this.extendLease();
    const outcome = await worker.hold(
      {
        fencingToken,
        acknowledged,
        waitMs,
        ...(leaseUntilMs === undefined ? {} : { leaseUntilMs }),
      },
      callWithin(clock, waitMs + ORDER_TIMEOUT_MS, signal),
    );
    // An answer from a former address says nothing about the present one.
    if (signal.aborted || worker !== this.worker) return;
    await this.handlePoll(outcome, sentMs, acknowledged, signal);
  }

  private async handlePoll(
    outcome: Result<HoldOutcome, Failure>,
    sentMs: number,
    acknowledged: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, listener } = this.options;
    if (outcome.err) {
      this.handleFailedPoll(outcome.val.message);
      await clock.sleep(RETRY_MS, signal);
      return;
    }
    if (outcome.val.kind === 'stale-token') {
      listener.onStaleToken(this);
      await clock.sleep(RETRY_MS, signal);
      return;
    }
    const isOtherIncarnation = outcome.val.kind === 'other-life';
    const isNewIncarnation = isOtherIncarnation || this.isNewIncarnation(outcome.val.holding);
    // A restarted worker has forgotten the token of a successor that this owner may not know of.
    this.shownOverMs = isNewIncarnation ? (this.shownOverMs ?? clock.monotonicMs()) : undefined;
    const mayEndIncarnation =
      this.shownOverMs !== undefined && this.options.wasSoleOwnerAt(this.shownOverMs);
    if (isOtherIncarnation && mayEndIncarnation) this.endReplaced();
    if (isOtherIncarnation || (isNewIncarnation && !mayEndIncarnation)) {
      this.countFailedPoll();
      await clock.sleep(mayEndIncarnation ? RETRY_MS : PROOF_MS, signal);
      return;
    }
    const wasUnresponsive = !this.isResponsive;
    this.failedPolls = 0;
    if (wasUnresponsive) {
      this.log.info('A worker answers again', { worker: this.id });
      listener.onChange(this);
    }
    this.noteAnswer(outcome.val.holding, sentMs);
    this.noteAlive(outcome.val.holding, sentMs);
    const seenBefore = this.seenSequence;
    this.applyHolding(outcome.val.holding, sentMs, acknowledged);
    this.endPollWaits();
    const hasNewEnds = this.seenSequence !== seenBefore;
    if (wasUnresponsive || (hasNewEnds && this.isBeingLeft)) return;
    await this.waitBeforeNextPoll(signal);
  }

  /**
   * Waits until the ends are stored, and a short time more so that one poll returns several ends.
   */
  private async waitBeforeNextPoll(signal: AbortSignal): Promise<void> {
    const { clock, listener } = this.options;
    const answeredMs = clock.monotonicMs();
    if (this.storedSequence < this.seenSequence) {
      const seen = this.seenSequence;
      const born = this.bornMs;
      const whenStored = listener.whenStored().then((ok) => {
        if (ok && this.bornMs === born) this.storedSequence = Math.max(this.storedSequence, seen);
      });
      await Promise.race([whenStored, clock.sleep(RETRY_MS, signal)]);
    }
    if (this.runs.count > 0 || this.runs.unknownCount > 0 || this.hasMoreEnds) {
      await clock.sleep(Math.max(0, answeredMs + POLL_GAP_MS - clock.monotonicMs()), signal);
      return;
    }
    await this.wakeup.wait(MAX_ACKNOWLEDGE_DELAY_MS, signal);
  }

  /** Tells whether runs of a worker that leaves are being stopped. It may be gone before their ends are read. */
  private get isBeingLeft(): boolean {
    return (
      this.description.phase === 'draining' &&
      this.activeRuns().some(({ phase }) => phase === 'stopping')
    );
  }

  private countFailedPoll(): void {
    if (this.failedPolls === 0)
      this.silentSinceMs = Math.min(this.options.clock.monotonicMs(), this.answerDueMs);
    this.failedPolls += 1;
    this.endPollWaits();
  }

  private handleFailedPoll(reason: string): void {
    this.countFailedPoll();
    if (this.failedPolls === FAILED_POLLS_UNTIL_UNRESPONSIVE) {
      this.log.warn('A worker does not answer', {
        worker: this.id,
        runs: this.runs.count,
        reason,
      });
      this.options.listener.onChange(this);
    }
    if (this.fenced) this.dropLapsedRuns();
  }

  /** A successor unknown to this owner may have extended the lease before it lapsed. */
  private dropLapsedRuns(): void {
    const nowMs = this.options.clock.monotonicMs();
    this.activeRuns().forEach((run) => {
      const endMs = this.leaseEndOf(run);
      if (nowMs < endMs || !this.options.wasSoleOwnerAt(endMs)) return;
      this.noteUnexplained(run);
      this.dropLostRun(run, 'the lease has lapsed');
    });
  }

  /**
   * An incarnation that answered while there was no other owner knows the fencing token of any successor
   * that has reached it since. One that is younger may have forgotten it.
   */
  private noteAnswer({ bornMs }: Holding, sentMs: number): void {
    if (this.options.isSoleOwner()) this.soleBornMs = bornMs;
    if (this.soleBornMs === bornMs) this.answeredMs = sentMs;
  }

  /** An answer may have waited for an end; no clock of a worker is fast. */
  private noteAlive(holding: Holding, sentMs: number): void {
    const isKnown = this.bornMs === holding.bornMs;
    const advancedMs = isKnown ? holding.clockMs - this.aliveAtWorkerMs : Number.NEGATIVE_INFINITY;
    this.aliveMs = Math.max(sentMs, this.aliveMs + advancedMs);
    this.aliveAtWorkerMs = holding.clockMs;
  }

  private isNewIncarnation({ bornMs }: Holding): boolean {
    return this.bornMs !== undefined && bornMs > this.bornMs;
  }

  private applyHolding(holding: Holding, sentMs: number, acknowledged: number): void {
    const isNew = this.isNewIncarnation(holding);
    if (isNew) this.endIncarnation('the worker has started again', true);
    this.noteIncarnation(holding, isNew);
    this.unexplainedRuns = [];
    this.bornMs = holding.bornMs;
    this.knownBornMs = Math.max(holding.bornMs, this.description.bornMs);
    if (isNew) this.options.listener.onRestarted(this);
    this.pollCount += 1;
    this.workerClock.addReading(holding.clockMs);
    this.acknowledgedSequence = Math.max(this.acknowledgedSequence, acknowledged);
    holding.ends
      .filter(({ sequence }) => sequence > this.seenSequence)
      .forEach((end) => this.applyEnd(end, holding.clockMs));
    const listed = new Set<OwnedRun>();
    const adopted: OwnedRun[] = [];
    const unknownSizes: Size[] = [];
    holding.running.forEach((report) => {
      const known = this.runs.find(report);
      const isKnown = this.applyReport(report, holding.clockMs);
      const run = this.runs.find(report);
      if (run) listed.add(run);
      if (run && !known) adopted.push(run);
      if (isKnown) return;
      const size = this.options.listener.sizeOfUnknownRun(report.taskId);
      unknownSizes.push(size ?? this.description.capacity);
    });
    if (adopted.length > 0) this.options.listener.onRunsAdopted(this, adopted);
    this.runs.setUnknownRuns(unknownSizes);
    this.noteMoreEnds(holding);
    if (!holding.hasMoreEnds) this.dropMissingRuns(listed, sentMs);
    if (isNew) this.leaseUntilMs = holding.clockMs + this.options.maxLeaseMs;
    if (!this.fenced) {
      this.fenced = true;
      const nowMs = this.options.clock.monotonicMs();
      this.log.info('A worker has accepted the fencing token', {
        worker: this.id,
        knownForMs: Math.round(nowMs - this.knownSinceMs),
        callMs: Math.round(nowMs - sentMs),
        polls: this.pollCount,
      });
      // A former owner may have extended the lease until just now, unless it had counted it down.
      const longestUntilMs = holding.clockMs + this.longestLeaseMs(holding);
      const formerUntilMs = this.endWithin(longestUntilMs, this.options.leaseLimitMs());
      this.leaseUntilMs = Math.max(this.leaseUntilMs, formerUntilMs);
      this.options.listener.onFenced(this);
    }
    if (!this.isReported && !holding.hasMoreEnds) {
      this.isReported = true;
      this.options.listener.onFullReport(this);
    }
  }

  private noteIncarnation({ bornMs }: Holding, isNew: boolean): void {
    const { description } = this;
    if (isNew && description.bornMs !== bornMs)
      this.incarnationSinceMs = this.options.clock.monotonicMs();
    const isUndescribed = isNew && description.bornMs === 0;
    const isOutdated = isUndescribed || WorkerAgent.isOlder(description, bornMs);
    if (!isOutdated || this.isDescriptionOutdated) return;
    this.isDescriptionOutdated = true;
    this.log.info('The description of a worker is of a former incarnation', {
      worker: this.id,
      bornMs,
      describedBornMs: description.bornMs,
    });
  }

  private noteMoreEnds({ hasMoreEnds, ends }: Holding): void {
    if (hasMoreEnds === this.hasMoreEnds) return;
    this.hasMoreEnds = hasMoreEnds;
    this.log.info(
      hasMoreEnds ? 'A worker does not list all ends' : 'A worker lists all ends again',
      { worker: this.id, listed: ends.length, runs: this.runs.count },
    );
  }

  private applyEnd(end: RunEnd, clockMs: number): void {
    this.seenSequence = end.sequence;
    const run = this.runs.find(end);
    if (run) this.runs.drop(run);
    this.options.listener.onRunEnd(this, run, end, this.workerClock.toLocalMs(clockMs));
  }

  /** Returns false if the run belongs to no open task. */
  private applyReport(report: RunReport, clockMs: number): boolean {
    const known = this.runs.find(report);
    const run = known ?? this.options.listener.onUnknownRun(this, report);
    if (!run) {
      this.orders.stopUnknownRun(report);
      return false;
    }
    this.attributedRuns.add(run);
    this.options.listener.onRunBegun(run);
    if (run.phase === 'starting' || run.phase === 'in-doubt') this.confirm(run);
    const { percent, gauge } = report;
    const shownMs = this.workerClock.toLocalMs(clockMs);
    if (run.percent !== percent) run.progressedMs = Math.max(run.progressedMs, shownMs);
    run.percent = percent;
    run.reportedMs = shownMs;
    run.reportedAtWorkerMs = clockMs;
    // A report made before the last pace order does not show the speed at that pace.
    if (shownMs >= run.progressedMs) run.firstSample ??= { percent, clockMs, atMs: shownMs };
    run.gauge = gauge;
    if (!run.isProven && shownMs - (run.startAnsweredMs ?? run.startedMs) >= PROVEN_AFTER_MS) {
      run.isProven = true;
      this.options.listener.onRunProven(run);
    }
    if (report.checkpoint !== '') run.task.checkpoint = report.checkpoint;
    return true;
  }

  private confirm(run: OwnedRun): void {
    const owned = run;
    owned.phase = 'running';
    markConfirmed(run, this.options.clock.monotonicMs());
  }

  /**
   * Drops confirmed runs that are missing in the answer to a later poll that lists all ends: they are
   * over.
   */
  private dropMissingRuns(listed: ReadonlySet<OwnedRun>, sentMs: number): void {
    this.activeRuns().forEach((run) => {
      if (listed.has(run) || run.confirmedMs === undefined || run.confirmedMs >= sentMs) return;
      this.dropLostRun(run, 'the worker no longer lists it');
    });
  }

  private noteUnexplained(run: OwnedRun): void {
    if (WorkerAgent.mayHaveCrashed(run)) this.unexplainedRuns.push(run);
  }

  /** The worker cannot have begun a run whose start it may still answer. */
  private static mayHaveCrashed({ isProven, phase }: OwnedRun): boolean {
    return !isProven && phase !== 'starting';
  }

  private reportCrash(): void {
    const runs = [
      ...this.unexplainedRuns,
      ...this.activeRuns().filter((run) => WorkerAgent.mayHaveCrashed(run)),
    ];
    this.unexplainedRuns = [];
    // A worker that drains ends its runs when it leaves.
    if (runs.length === 0 || this.description.phase === 'draining') return;
    this.options.listener.onCrash(this, runs);
  }

  /** Handles the answer of another worker at the address: the worker is gone, with its runs. */
  private endReplaced(): void {
    this.endIncarnation('the address belongs to another worker', false);
    this.isReplaced = true;
    // A later incarnation has not seen the fencing token.
    this.fenced = false;
    this.isReported = false;
    this.answeredMs = Number.NEGATIVE_INFINITY;
    this.options.listener.onReplaced(this);
  }

  /**
   * Handles the end of the worker's former incarnation: all its runs are over.
   *
   * @param reason - how this was found out, for the log
   * @param sameAddress - true if unanswered orders may still reach the new incarnation
   */
  private endIncarnation(reason: string, sameAddress: boolean): void {
    this.log.warn('An incarnation of a worker is over', {
      worker: this.id,
      reason,
      runs: this.runs.count,
    });
    this.reportCrash();
    this.seenSequence = 0;
    this.storedSequence = 0;
    this.acknowledgedSequence = 0;
    this.leaseUntilMs = 0;
    this.shownOverMs = undefined;
    this.hasMoreEnds = false;
    this.workerClock.reset();
    this.runs.setUnknownRuns([]);
    this.activeRuns().forEach((run) => {
      const mayStart = run.phase === 'starting' || run.phase === 'in-doubt';
      if (sameAddress && mayStart) return;
      if (run.phase === 'stopping' && sameAddress && run.confirmedMs === undefined) return;
      this.dropLostRun(run, reason);
    });
  }
}
