/**
 * The owner's side of one worker: holds its lease, keeps the account of its room, sends its orders.
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
import type { Size } from '../../infrastructure/worker.js';
import { partLog } from '../../observability/log.js';
import type { Result } from '../../results.js';
import { onAbort } from '../../time/abortListeners.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';
import { Wakeup } from '../../time/wakeup.js';

import type { OwnedRun, OwnedTask, RunAgent } from '../model/ownedJob.js';
import type { OrderBatcher } from './orderBatcher.js';
import { WorkerClock } from './workerClock.js';
import { ORDER_TIMEOUT_MS, WorkerOrders, type OrderContext } from './workerOrders.js';
import { markConfirmed, WorkerRuns } from './workerRuns.js';

/** How long a worker may hold an answer until a run ends, in milliseconds. */
const POLL_WAIT_MS = 1_000;

/** The same while fillers run beside a task with a target, whose tail is reported by half seconds. */
const SHORT_POLL_WAIT_MS = 500;

/** Least time between an answer of a worker and the next look, in milliseconds: ends gather, looks are priced. */
const POLL_GAP_MS = 50;

/** Time between looks at a worker whose ends cannot be stored, or that does not answer. */
const RETRY_MS = 400;

/** Longest time that the end of the last run stays unacknowledged, in milliseconds. */
const MAX_ACKNOWLEDGE_DELAY_MS = 1_200;

/** Acknowledges no end. */
const ACKNOWLEDGE_NONE = 0;

/** Holds without an answer after which a worker gets no new work. */
const FAILED_POLLS_UNTIL_UNRESPONSIVE = 1;

/** Longest time for which a lease is granted at once, in milliseconds. */
const MAX_LEASE_MS = 6_000;

/** A lease may start to count this much later than expected, in milliseconds. */
const LEASE_EXPIRY_MARGIN_MS = 250;

/** What an agent tells its owner. */
export interface AgentListener {
  /** A run of an earlier owner, or one that was taken for gone; returns the run, or undefined to stop it. */
  onUnknownRun(agent: WorkerAgent, report: RunReport): OwnedRun | undefined;
  /** Room that a run takes which no open task has; undefined if nothing is known of its job. */
  sizeOfUnknownRun(taskId: string): Size | undefined;
  /** The worker has shown that it began a run: an answer, or one of its lists. */
  onRunBegun(run: OwnedRun): void;
  /** The worker listed the end of a run, at a monotonic time in milliseconds. */
  onRunEnd(agent: WorkerAgent, run: OwnedRun | undefined, end: RunEnd, shownMs: number): void;
  /** A run is over without a listed end: it never ran, its lease lapsed or its worker restarted. */
  onRunLost(run: OwnedRun, reason: string): void;
  /** The worker did not take the ticket of a start. */
  onTicketRefused(run: OwnedRun): void;
  /** Room or reachability has changed. */
  onChange(agent: WorkerAgent): void;
  /** The worker has taken this owner's token for the first time. */
  onFenced(agent: WorkerAgent): void;
  onStaleToken(agent: WorkerAgent): void;
  /** Resolves once everything reported so far is stored. */
  whenStored(): Promise<boolean>;
}

/** What an agent is made of. */
export interface AgentOptions {
  readonly description: WorkerDescription;
  /** Connects to an address of the worker. */
  readonly connect: (address: string) => TaskWorker;
  readonly clock: Clock;
  readonly fencingToken: number;
  /** Longest lease that workers take, in milliseconds. */
  readonly maxLeaseMs: number;
  readonly listener: AgentListener;
  readonly signal: AbortSignal;
  /** Sends the orders of all workers. */
  readonly batcher: OrderBatcher;
  /** Tells whether no other owner can have granted a lease so far. */
  readonly isSoleOwner: () => boolean;
  /** Tells whether leases may be extended: no successor counts them as over yet. */
  readonly mayExtendLeases: () => boolean;
}

/** One worker of an owner. */
export class WorkerAgent implements RunAgent {
  description: WorkerDescription;

  /** The worker is gone from the directory. */
  isUnlisted = false;

  /** How often the worker's lists were read. */
  pollCount = 0;

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

  private failedPolls = 0;

  private bornMs: number | undefined;

  /** The newest life that was known, by the worker or the directory, when the worker showed its own. */
  private knownBornMs = 0;

  /** Highest lease sent, on the worker's clock. */
  private grantedUntilMs = 0;

  private seenSequence = 0;

  private storedSequence = 0;

  private acknowledgedSequence = 0;

  /**
   * @param options - worker, clock and listener
   */
  constructor(private readonly options: AgentOptions) {
    this.description = options.description;
    this.worker = options.connect(options.description.address);
    this.workerClock = new WorkerClock(options.clock);
    this.wakeup = new Wakeup(options.clock);
    this.runs = new WorkerRuns(options.clock);
    this.orders = new WorkerOrders(this.orderContext());
    // Every order in progress listens.
    setMaxListeners(0, this.closed.signal);
    onAbort(options.signal, () => this.closed.abort());
  }

  /** @returns the worker's id */
  get id(): string {
    return this.description.id;
  }

  /** @returns true once the worker refuses orders of former owners */
  get isFenced(): boolean {
    return this.fenced;
  }

  /** @returns true while the worker answers */
  get isResponsive(): boolean {
    return this.failedPolls < FAILED_POLLS_UNTIL_UNRESPONSIVE;
  }

  /** @returns true if tasks may be started on it */
  get takesWork(): boolean {
    return (
      this.fenced &&
      this.isResponsive &&
      !this.isUnlisted &&
      !this.hasRestarted &&
      this.description.phase === 'ready' &&
      this.options.clock.monotonicMs() >= this.avoidUntilMs
    );
  }

  /** @returns all runs that may be in progress on it */
  activeRuns(): readonly OwnedRun[] {
    return this.runs.all();
  }

  /** @returns those of them that serve under a target */
  servingRuns(): readonly OwnedRun[] {
    return this.runs.serving();
  }

  /** @returns those of them that fill */
  fillerRuns(): readonly OwnedRun[] {
    return this.runs.fillers();
  }

  /** @returns how many runs it may have in progress */
  get runCount(): number {
    return this.runs.count;
  }

  /** @returns what is left of its room */
  free(): Size {
    return this.runs.free(this.description.capacity);
  }

  /**
   * Tells whether a task fits.
   *
   * @param size - what the task asks for
   * @returns true if the room that is left holds it
   */
  fits(size: Size): boolean {
    return this.runs.fits(this.description.capacity, size);
  }

  /**
   * Takes news from the directory.
   *
   * @param description - the worker as it describes itself now
   */
  updateDescription(description: WorkerDescription): void {
    if (description.address !== this.description.address) {
      this.worker.close();
      this.worker = this.options.connect(description.address);
    }
    this.description = description;
    this.isUnlisted = false;
    if (this.hasRestarted) this.wakeup.wake();
  }

  /** Ends the agent; the worker's runs go on until their leases lapse. */
  close(): void {
    this.closed.abort();
    this.wakeup.wake();
    this.worker.close();
  }

  /** Serves the worker until closed. */
  async run(): Promise<void> {
    const { signal } = this.closed;
    while (!signal.aborted) {
      if (this.isIdle()) {
        await this.wakeup.wait(POLL_WAIT_MS, signal);
        continue;
      }
      await this.poll(signal);
    }
  }

  /**
   * Starts a task. Its room is taken at once.
   *
   * @param task - the task
   * @param runNumber - number of the run
   * @param size - room to take
   * @param ticket - permission of the policy service, if needed
   * @returns the run
   */
  start(task: OwnedTask, runNumber: number, size: Size, ticket: string | undefined): OwnedRun {
    const owned = this.trackRun(task, runNumber, size, 'starting');
    this.orders.start(owned, ticket);
    this.wakeup.wake();
    return owned;
  }

  /**
   * Counts a run.
   *
   * @param task - its task
   * @param runNumber - number of the run
   * @param size - room that it takes
   * @param phase - where it stands
   * @returns the run
   */
  trackRun(task: OwnedTask, runNumber: number, size: Size, phase: OwnedRun['phase']): OwnedRun {
    return this.runs.add(this, task, runNumber, size, phase);
  }

  /**
   * Stops a run. Its room is taken until the worker has listed its end.
   *
   * @param run - the run
   * @param reason - for the log
   */
  stop(run: OwnedRun, reason: string): void {
    this.orders.stop(run, reason);
  }

  /**
   * Lets a run work at a share of its processors.
   *
   * @param run - the run
   * @param percent - the share, from 0 to 100
   */
  pace(run: OwnedRun, percent: number): void {
    this.orders.pace(run, percent);
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
      extendLease: () => this.extendLease(),
      onClockReading: (clockMs) => this.workerClock.addReading(clockMs),
      toLocalMs: (clockMs) => this.workerClock.toLocalMs(clockMs),
      onRunBegun: (run) => listener.onRunBegun(run),
      onRunLost: (run, reason) => this.dropLostRun(run, reason),
      avoidFor: (durationMs) => {
        this.avoidUntilMs = clock.monotonicMs() + durationMs;
      },
      pollSoon: () => this.wakeup.wake(),
      onStaleToken: () => listener.onStaleToken(this),
      onTicketRefused: (run) => listener.onTicketRefused(run),
    };
  }

  /** The directory tells of a life that the worker itself has not shown yet. */
  private get hasRestarted(): boolean {
    return this.bornMs !== undefined && this.description.bornMs > this.knownBornMs;
  }

  private isIdle(): boolean {
    return (
      this.fenced &&
      this.isResponsive &&
      !this.hasRestarted &&
      this.runs.count === 0 &&
      this.runs.unknownCount === 0 &&
      this.acknowledgedSequence >= this.seenSequence
    );
  }

  private dropLostRun(run: OwnedRun, reason: string): void {
    if (!this.runs.drop(run)) return;
    this.log.info('A run is over without a listed end', {
      taskId: run.task.id,
      run: run.run,
      worker: this.id,
      reason,
    });
    this.options.listener.onRunLost(run, reason);
  }

  /** The lease to send; after silence nothing is extended, so that it can be waited out. */
  private extendLease(): number | undefined {
    const now = this.workerClock.nowMs();
    if (now === undefined || !this.isResponsive || !this.options.mayExtendLeases())
      return undefined;
    this.grantedUntilMs = Math.max(this.grantedUntilMs, Math.floor(now + this.leaseMs()));
    return this.grantedUntilMs;
  }

  private pollWaitMs(): number {
    const isMixed = this.fillerRuns().length > 0 && this.servingRuns().length > 0;
    return isMixed ? SHORT_POLL_WAIT_MS : POLL_WAIT_MS;
  }

  private leaseMs(): number {
    return Math.min(MAX_LEASE_MS, this.options.maxLeaseMs);
  }

  private async poll(signal: AbortSignal): Promise<void> {
    const { clock, fencingToken, batcher } = this.options;
    // After an election all workers are looked at.
    await new Promise<void>((resolve) => {
      batcher.enqueue(resolve);
    });
    if (signal.aborted) return;
    const { worker } = this;
    const allStored = this.storedSequence >= this.seenSequence;
    const mayWait = this.fenced && this.isResponsive && allStored && this.runs.count > 0;
    const waitMs = mayWait ? this.pollWaitMs() : 0;
    const sentMs = clock.monotonicMs();
    // After a miss, or with a number that says nothing new, ends of a life that the worker began unseen
    // could be dropped.
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
    if (signal.aborted) return;
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
      this.handleFailedPoll(outcome.val);
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
    // A new life has forgotten the token of a successor that this owner may not know of.
    const mayEndIncarnation = isNewIncarnation && this.options.isSoleOwner();
    if (isOtherIncarnation && mayEndIncarnation)
      this.endIncarnation('the address belongs to another worker', false);
    if (isOtherIncarnation || (isNewIncarnation && !mayEndIncarnation)) {
      this.failedPolls += 1;
      await clock.sleep(RETRY_MS, signal);
      return;
    }
    const wasUnresponsive = !this.isResponsive;
    this.failedPolls = 0;
    if (wasUnresponsive) {
      this.log.info('A worker answers again', { worker: this.id });
      listener.onChange(this);
    }
    this.applyHolding(outcome.val.holding, sentMs, acknowledged);
    if (wasUnresponsive) return;
    await this.waitBeforeNextPoll(signal);
  }

  /** Waits for ends to be stored, and for more ends to gather. */
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
    if (this.runs.count > 0 || this.runs.unknownCount > 0) {
      await clock.sleep(Math.max(0, answeredMs + POLL_GAP_MS - clock.monotonicMs()), signal);
      return;
    }
    await this.wakeup.wait(MAX_ACKNOWLEDGE_DELAY_MS, signal);
  }

  private handleFailedPoll(failure: Failure): void {
    this.failedPolls += 1;
    if (this.failedPolls === FAILED_POLLS_UNTIL_UNRESPONSIVE) {
      this.log.warn('A worker does not answer', {
        worker: this.id,
        runs: this.runs.count,
        reason: failure.message,
      });
      this.options.listener.onChange(this);
    }
    const hasLapsed =
      this.fenced && this.workerClock.hasPassed(this.grantedUntilMs + LEASE_EXPIRY_MARGIN_MS);
    // A successor that this owner does not know of yet may have extended the lease.
    if (hasLapsed && this.options.isSoleOwner()) {
      this.activeRuns().forEach((run) => this.dropLostRun(run, 'the lease has lapsed'));
    }
  }

  private isNewIncarnation({ bornMs }: Holding): boolean {
    return this.bornMs !== undefined && bornMs > this.bornMs;
  }

  private applyHolding(holding: Holding, sentMs: number, acknowledged: number): void {
    if (this.isNewIncarnation(holding)) {
      this.endIncarnation('the worker has started again', true);
    }
    this.bornMs = holding.bornMs;
    this.knownBornMs = Math.max(holding.bornMs, this.description.bornMs);
    this.pollCount += 1;
    this.workerClock.addReading(holding.clockMs);
    this.acknowledgedSequence = Math.max(this.acknowledgedSequence, acknowledged);
    holding.ends
      .filter(({ sequence }) => sequence > this.seenSequence)
      .forEach((end) => this.applyEnd(end, holding.clockMs));
    const listed = new Set<OwnedRun>();
    const unknownSizes: Size[] = [];
    holding.running.forEach((report) => {
      const isKnown = this.applyReport(report, holding.clockMs);
      const run = this.runs.find(report);
      if (run) listed.add(run);
      if (isKnown) return;
      const size = this.options.listener.sizeOfUnknownRun(report.taskId);
      unknownSizes.push(size ?? this.description.capacity);
    });
    this.runs.setUnknownRuns(unknownSizes);
    this.dropMissingRuns(listed, sentMs);
    if (!this.fenced) {
      this.fenced = true;
      this.options.listener.onFenced(this);
    }
  }

  private applyEnd(end: RunEnd, clockMs: number): void {
    this.seenSequence = end.sequence;
    const run = this.runs.find(end);
    if (run) this.runs.drop(run);
    this.options.listener.onRunEnd(this, run, end, this.workerClock.toLocalMs(clockMs));
  }

  /** Returns false if no open task has the run. */
  private applyReport(report: RunReport, clockMs: number): boolean {
    const known = this.runs.find(report);
    const run = known ?? this.options.listener.onUnknownRun(this, report);
    if (!run) {
      this.orders.stopUnknownRun(report);
      return false;
    }
    this.options.listener.onRunBegun(run);
    if (run.phase === 'starting' || run.phase === 'in-doubt') this.confirm(run);
    const { percent, gauge } = report;
    const shownMs = this.workerClock.toLocalMs(clockMs);
    if (run.percent !== percent) run.progressedMs = Math.max(run.progressedMs, shownMs);
    run.percent = percent;
    run.reportedMs = shownMs;
    run.reportedAtWorkerMs = clockMs;
    // A report of before the last order of a pace tells nothing of that pace.
    if (shownMs >= run.progressedMs) run.firstSample ??= { percent, clockMs, atMs: shownMs };
    run.gauge = gauge;
    if (report.checkpoint !== '') run.task.checkpoint = report.checkpoint;
    return true;
  }

  private confirm(run: OwnedRun): void {
    const owned = run;
    owned.phase = 'running';
    markConfirmed(run, this.options.clock.monotonicMs());
  }

  /** A confirmed run that a later look does not show is over, whatever ended it. */
  private dropMissingRuns(listed: ReadonlySet<OwnedRun>, sentMs: number): void {
    this.activeRuns().forEach((run) => {
      if (listed.has(run) || run.confirmedMs === undefined || run.confirmedMs >= sentMs) return;
      this.dropLostRun(run, 'the worker no longer lists it');
    });
  }

  /**
   * The worker's former life is over and with it all that ran.
   *
   * @param reason - what showed it
   * @param sameAddress - an order without an answer may still reach the new life
   */
  private endIncarnation(reason: string, sameAddress: boolean): void {
    this.log.warn('A life of a worker is over', {
      worker: this.id,
      reason,
      runs: this.runs.count,
    });
    this.seenSequence = 0;
    this.storedSequence = 0;
    this.acknowledgedSequence = 0;
    this.grantedUntilMs = 0;
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
