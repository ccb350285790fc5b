/**
 * The owner's side of one worker: holds its lease, keeps the account of its room, sends its orders.
 */
import type {
  Holding,
  HoldOutcome,
  OrderOutcome,
  RunEnd,
  RunReport,
  TaskWorker,
  WorkerDescription,
} from '../infrastructure/taskWorker.js';
import type { Size } from '../infrastructure/worker.js';
import type { Failure } from '../failure.js';
import { partLog } from '../observability/log.js';
import type { Result } from '../results.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { Wakeup } from '../time/wakeup.js';

import type { OwnedRun, OwnedTask } from './ownedJob.js';
import { WorkerClock } from './workerClock.js';
import { WorkerRoom } from './workerRoom.js';

/** How long a worker may hold an answer until a run ends, in milliseconds. */
const HOLD_WAIT_MS = 1_000;

/** The same while fillers run beside a task with a target, whose tail is reported by half seconds. */
const CLOSE_HOLD_WAIT_MS = 500;

/** Time for an order, or for a hold beyond its wait, in milliseconds; a round trip takes a few. */
const ORDER_TIMEOUT_MS = 600;

/** Least time between two looks at a worker, in milliseconds: ends gather, looks are priced. */
const LOOK_GAP_MS = 80;

/** Time between looks at a worker whose ends cannot be stored, or that does not answer. */
const RETRY_MS = 400;

/** Longest time that the end of the last run stays unacknowledged, in milliseconds. */
const ACKNOWLEDGE_MS = 1_200;

/** Holds without an answer after which a worker gets no new work. */
const MISSES_UNTIL_SILENT = 1;

/** How long a worker that turned an order away gets no new work, in milliseconds. */
const TURNED_AWAY_MS = 1_000;

/** Longest time for which a lease is granted at once, in milliseconds. */
const LEASE_MS = 6_000;

/** A lease may start to count this much later than expected, in milliseconds. */
const LAPSE_SLACK_MS = 250;

/** What an agent tells its owner. */
export interface AgentListener {
  /** A run of an earlier owner, or one that was taken for gone; returns the run, or undefined to stop it. */
  onUnknownRun(agent: WorkerAgent, report: RunReport): OwnedRun | undefined;
  /** Room that a run takes which no open task has; undefined if nothing is known of its job. */
  sizeOfUnknown(taskId: string): Size | undefined;
  /** The worker has shown that it began a run: an answer, or one of its lists. */
  onBegun(run: OwnedRun): void;
  /** The worker listed the end of a run. */
  onEnd(agent: WorkerAgent, run: OwnedRun | undefined, end: RunEnd): void;
  /** A run is over without a listed end: it never ran, its lease lapsed or its worker restarted. */
  onGone(run: OwnedRun, reason: string): void;
  /** The worker did not take the ticket of a start. */
  onTicketRefused(run: OwnedRun): void;
  /** Room or reachability has changed. */
  onChange(agent: WorkerAgent): void;
  /** The worker has taken this owner's token for the first time. */
  onFenced(agent: WorkerAgent): void;
  onStaleToken(agent: WorkerAgent): void;
  /** Resolves once everything reported so far is stored. */
  stored(): Promise<boolean>;
}

/** What an agent is made of. */
export interface AgentOptions {
  readonly description: WorkerDescription;
  readonly worker: TaskWorker;
  readonly clock: Clock;
  readonly fencingToken: number;
  /** Longest lease that workers take, in milliseconds. */
  readonly holdLimitMs: number;
  readonly listener: AgentListener;
  readonly signal: AbortSignal;
  /** Tells whether no other owner can have granted a lease so far. */
  readonly isSoleOwner: () => boolean;
}

const runKey = (taskId: string, run: number): string => `${taskId}#${run}`;

/** One worker of an owner. */
export class WorkerAgent {
  description: WorkerDescription;

  /** The worker is gone from the directory. */
  unlisted = false;

  /** How often the worker's lists were read. */
  looks = 0;

  /** Monotonic time until which the worker gets no new work. */
  avoidUntilMs = 0;

  private readonly log = partLog('worker');

  private readonly runs = new Map<string, OwnedRun>();

  private readonly workerClock: WorkerClock;

  private readonly wakeup: Wakeup;

  private readonly closed = new AbortController();

  private fenced = false;

  private misses = 0;

  private bornMs: number | undefined;

  /** Highest lease sent, on the worker's clock. */
  private grantedUntilMs = 0;

  private seenSequence = 0;

  private storedSequence = 0;

  private acknowledgedSequence = 0;

  private readonly room = new WorkerRoom();

  /** How many runs are being stopped because no open task has them. */
  private foreignRuns = 0;

  /**
   * @param options - worker, clock and listener
   */
  constructor(private readonly options: AgentOptions) {
    this.description = options.description;
    this.workerClock = new WorkerClock(options.clock);
    this.wakeup = new Wakeup(options.clock);
    options.signal.addEventListener('abort', () => this.closed.abort());
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
  get answers(): boolean {
    return this.misses < MISSES_UNTIL_SILENT;
  }

  /** @returns true if tasks may be started on it */
  get takesWork(): boolean {
    return (
      this.fenced &&
      this.answers &&
      !this.unlisted &&
      this.description.phase === 'ready' &&
      this.options.clock.monotonicMs() >= this.avoidUntilMs
    );
  }

  /** @returns all runs that may be in progress on it */
  activeRuns(): readonly OwnedRun[] {
    return [...this.runs.values()];
  }

  /** @returns how many runs it may have in progress */
  get runCount(): number {
    return this.runs.size;
  }

  /** @returns what is left of its room */
  free(): Size {
    return this.room.free(this.description.capacity);
  }

  /**
   * Tells whether a task fits.
   *
   * @param size - what the task asks for
   * @returns true if the room that is left holds it
   */
  fits(size: Size): boolean {
    return this.room.fits(this.description.capacity, size);
  }

  /**
   * Takes news from the directory.
   *
   * @param description - the worker as it describes itself now
   */
  describe(description: WorkerDescription): void {
    this.description = description;
    this.unlisted = false;
    if (this.bornMs !== undefined && description.bornMs > this.bornMs) this.wakeup.wake();
  }

  /** Ends the agent; the worker's runs go on until their leases lapse. */
  close(): void {
    this.closed.abort();
    this.wakeup.wake();
    this.options.worker.close();
  }

  /** Serves the worker until closed. */
  async run(): Promise<void> {
    const { signal } = this.closed;
    while (!signal.aborted) {
      if (this.isIdle()) {
        await this.wakeup.wait(HOLD_WAIT_MS, signal);
        continue;
      }
      await this.look(signal);
    }
  }

  /**
   * Starts a task. Its room is taken at once.
   *
   * @param task - the task
   * @param run - number of the run
   * @param size - room to take
   * @param ticket - permission of the policy service, if needed
   * @returns the run
   */
  start(task: OwnedTask, run: number, size: Size, ticket: string | undefined): OwnedRun {
    const owned = this.adopt(task, run, size, 'starting');
    this.sendStart(owned, ticket).catch((error: unknown) => {
      this.log.error('A start failed', { taskId: task.id, reason: String(error) });
    });
    this.wakeup.wake();
    return owned;
  }

  /**
   * Counts a run.
   *
   * @param task - its task
   * @param run - its number
   * @param size - room that it takes
   * @param phase - where it stands
   * @returns the run
   */
  adopt(task: OwnedTask, run: number, size: Size, phase: OwnedRun['phase']): OwnedRun {
    const startedMs = this.options.clock.monotonicMs();
    const owned: OwnedRun = {
      task,
      run,
      agent: this,
      size,
      phase,
      startedMs,
      confirmedMs: phase === 'running' ? startedMs : undefined,
      percent: 0,
      sighted: undefined,
      reportedMs: startedMs,
      progressedMs: startedMs,
      gauge: 0,
      pace: 100,
      overTargetSinceMs: undefined,
    };
    this.runs.set(runKey(task.id, run), owned);
    task.runs.push(owned);
    this.room.take(size);
    return owned;
  }

  /**
   * Stops a run. Its room is taken until the worker has listed its end.
   *
   * @param run - the run
   * @param reason - for the log
   */
  stop(run: OwnedRun, reason: string): void {
    if (run.phase === 'stopping') return;
    const owned = run;
    owned.phase = 'stopping';
    this.log.info('Stopping a run', {
      taskId: run.task.id,
      run: run.run,
      worker: this.id,
      reason,
    });
    this.sendStop(owned).catch((error: unknown) => {
      this.log.error('A stop failed', { taskId: run.task.id, reason: String(error) });
    });
  }

  /**
   * Lets a run work at a share of its processors.
   *
   * @param run - the run
   * @param percent - the share, from 0 to 100
   */
  async pace(run: OwnedRun, percent: number): Promise<void> {
    const { worker, clock, fencingToken } = this.options;
    const owned = run;
    const before = run.pace;
    owned.pace = percent;
    owned.sighted = undefined;
    owned.progressedMs = clock.monotonicMs();
    const call = callWithin(clock, ORDER_TIMEOUT_MS, this.closed.signal);
    const name = { taskId: run.task.id, run: run.run };
    const answer = await worker.pace(name, percent, fencingToken, call);
    if (answer.ok && answer.val.outcome === 'done') return;
    // Without an answer the pace is not known; the next decision sends it again.
    owned.pace = before === percent ? -1 : before;
    this.log.warn('A pace was not taken', {
      taskId: run.task.id,
      run: run.run,
      worker: this.id,
      percent,
      reason: answer.ok ? answer.val.outcome : answer.val.message,
    });
    if (answer.ok && answer.val.outcome === 'stale-token') this.options.listener.onStaleToken(this);
  }

  private isIdle(): boolean {
    return (
      this.fenced &&
      this.runs.size === 0 &&
      this.foreignRuns === 0 &&
      this.acknowledgedSequence >= this.seenSequence
    );
  }

  private drop(run: OwnedRun): boolean {
    const key = runKey(run.task.id, run.run);
    if (this.runs.get(key) !== run) return false;
    this.runs.delete(key);
    this.room.release(run.size);
    const at = run.task.runs.indexOf(run);
    if (at >= 0) run.task.runs.splice(at, 1);
    return true;
  }

  private gone(run: OwnedRun, reason: string): void {
    if (!this.drop(run)) return;
    this.log.info('A run is over without a listed end', {
      taskId: run.task.id,
      run: run.run,
      worker: this.id,
      reason,
    });
    this.options.listener.onGone(run, reason);
  }

  /** The lease to send; after silence nothing is extended, so that it can be waited out. */
  private nextLease(): number | undefined {
    const now = this.workerClock.nowMs();
    if (now === undefined || !this.answers) return undefined;
    this.grantedUntilMs = Math.max(this.grantedUntilMs, Math.floor(now + this.leaseMs()));
    return this.grantedUntilMs;
  }

  private holdWaitMs(): number {
    const runs = this.activeRuns();
    const isClose =
      runs.some(({ task }) => task.step.spec.filler) &&
      runs.some(({ task }) => task.step.spec.targetMs > 0);
    return isClose ? CLOSE_HOLD_WAIT_MS : HOLD_WAIT_MS;
  }

  private leaseMs(): number {
    return Math.min(LEASE_MS, this.options.holdLimitMs);
  }

  private async look(signal: AbortSignal): Promise<void> {
    const { clock, worker, fencingToken } = this.options;
    const storedAll = this.storedSequence >= this.seenSequence;
    const waits = this.fenced && this.answers && storedAll && this.runs.size > 0;
    const waitMs = waits ? this.holdWaitMs() : 0;
    const sentMs = clock.monotonicMs();
    const acknowledged = this.storedSequence;
    const leaseUntilMs = this.nextLease();
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
    await this.handleLook(outcome, sentMs, acknowledged, signal);
  }

  private async handleLook(
    outcome: Result<HoldOutcome, Failure>,
    sentMs: number,
    acknowledged: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, listener } = this.options;
    if (outcome.err) {
      this.noteMiss(outcome.val);
      await clock.sleep(RETRY_MS, signal);
      return;
    }
    if (outcome.val.kind === 'stale-token') {
      listener.onStaleToken(this);
      await clock.sleep(RETRY_MS, signal);
      return;
    }
    if (outcome.val.kind === 'other-life') {
      this.endLife('the address belongs to another worker', false);
      this.misses += 1;
      await clock.sleep(RETRY_MS, signal);
      return;
    }
    const wasSilent = !this.answers;
    this.misses = 0;
    if (wasSilent) {
      this.log.info('A worker answers again', { worker: this.id });
      listener.onChange(this);
    }
    this.apply(outcome.val.holding, sentMs, acknowledged);
    if (wasSilent) return;
    await this.rest(signal);
  }

  /** Waits for ends to be stored, and for more ends to gather. */
  private async rest(signal: AbortSignal): Promise<void> {
    const { clock, listener } = this.options;
    if (this.storedSequence < this.seenSequence) {
      const seen = this.seenSequence;
      const born = this.bornMs;
      const stored = listener.stored().then((ok) => {
        if (ok && this.bornMs === born) this.storedSequence = Math.max(this.storedSequence, seen);
      });
      await Promise.race([stored, clock.sleep(RETRY_MS, signal)]);
    }
    if (this.runs.size > 0 || this.foreignRuns > 0) {
      await clock.sleep(LOOK_GAP_MS, signal);
      return;
    }
    await this.wakeup.wait(ACKNOWLEDGE_MS, signal);
  }

  private noteMiss(failure: Failure): void {
    this.misses += 1;
    if (this.misses === MISSES_UNTIL_SILENT) {
      this.log.warn('A worker does not answer', {
        worker: this.id,
        runs: this.runs.size,
        reason: failure.message,
      });
      this.options.listener.onChange(this);
    }
    const hasLapsed =
      this.fenced && this.workerClock.hasPassed(this.grantedUntilMs + LAPSE_SLACK_MS);
    // A successor that this owner does not know of yet may have extended the lease.
    if (hasLapsed && this.options.isSoleOwner()) {
      this.activeRuns().forEach((run) => this.gone(run, 'the lease has lapsed'));
    }
  }

  private apply(holding: Holding, sentMs: number, acknowledged: number): void {
    if (this.bornMs !== undefined && holding.bornMs > this.bornMs) {
      this.endLife('the worker has started again', true);
    }
    this.bornMs = holding.bornMs;
    this.looks += 1;
    this.workerClock.read(holding.clockMs);
    this.acknowledgedSequence = Math.max(this.acknowledgedSequence, acknowledged);
    holding.ends
      .filter(({ sequence }) => sequence > this.seenSequence)
      .forEach((end) => this.applyEnd(end));
    const listed = new Set<string>();
    const foreign: Size[] = [];
    holding.running.forEach((report) => {
      const key = runKey(report.taskId, report.run);
      listed.add(key);
      if (this.applyReport(report)) return;
      const size = this.options.listener.sizeOfUnknown(report.taskId);
      foreign.push(size ?? this.description.capacity);
    });
    this.foreignRuns = foreign.length;
    this.room.setForeign(foreign);
    this.findMissing(listed, sentMs);
    if (!this.fenced) {
      this.fenced = true;
      this.options.listener.onFenced(this);
    }
  }

  private applyEnd(end: RunEnd): void {
    this.seenSequence = end.sequence;
    const run = this.runs.get(runKey(end.taskId, end.run));
    if (run) {
      this.options.listener.onBegun(run);
      this.drop(run);
    }
    this.options.listener.onEnd(this, run, end);
  }

  /** Returns false if no open task has the run. */
  private applyReport(report: RunReport): boolean {
    const known = this.runs.get(runKey(report.taskId, report.run));
    const run = known ?? this.options.listener.onUnknownRun(this, report);
    if (!run) {
      this.stopUnknown(report);
      return false;
    }
    if (known) this.options.listener.onBegun(known);
    if (run.phase === 'starting' || run.phase === 'in-doubt') this.confirm(run);
    const nowMs = this.options.clock.monotonicMs();
    if (run.percent !== report.percent) run.progressedMs = nowMs;
    run.percent = report.percent;
    run.reportedMs = nowMs;
    run.sighted ??= { percent: report.percent, atMs: nowMs };
    run.gauge = report.gauge;
    if (report.checkpoint !== '') run.task.checkpoint = report.checkpoint;
    return true;
  }

  private confirm(run: OwnedRun): void {
    const owned = run;
    owned.phase = 'running';
    this.markConfirmed(run);
  }

  /** A confirmed run that a later look does not show is over, whatever ended it. */
  private findMissing(listed: ReadonlySet<string>, sentMs: number): void {
    this.runs.forEach((run, key) => {
      if (listed.has(key) || run.confirmedMs === undefined || run.confirmedMs >= sentMs) return;
      this.gone(run, 'the worker no longer lists it');
    });
  }

  /**
   * The worker's former life is over and with it all that ran.
   *
   * @param reason - what showed it
   * @param sameAddress - an order without an answer may still reach the new life
   */
  private endLife(reason: string, sameAddress: boolean): void {
    this.log.warn('A life of a worker is over', {
      worker: this.id,
      reason,
      runs: this.runs.size,
    });
    this.seenSequence = 0;
    this.storedSequence = 0;
    this.acknowledgedSequence = 0;
    this.grantedUntilMs = 0;
    this.workerClock.reset();
    this.foreignRuns = 0;
    this.room.setForeign([]);
    this.activeRuns().forEach((run) => {
      const mayStart = run.phase === 'starting' || run.phase === 'in-doubt';
      if (sameAddress && mayStart) return;
      if (run.phase === 'stopping' && sameAddress && run.confirmedMs === undefined) return;
      this.gone(run, reason);
    });
  }

  private async sendStart(run: OwnedRun, ticket: string | undefined): Promise<void> {
    const { worker, clock, fencingToken } = this.options;
    const leaseUntilMs = this.nextLease();
    if (leaseUntilMs === undefined) {
      this.gone(run, 'the worker went silent before the order was sent');
      return;
    }
    const { task } = run;
    const answer = await worker.start(
      {
        taskId: task.id,
        run: run.run,
        spec: task.step.occurrence.job.accepted.job.spec,
        leaseUntilMs,
        fencingToken,
        checkpoint: task.checkpoint,
        ...(ticket === undefined ? {} : { ticket }),
      },
      callWithin(clock, ORDER_TIMEOUT_MS, this.closed.signal),
    );
    if (answer.err) {
      this.startFailed(run, answer.val);
      return;
    }
    if (answer.val.clockMs !== undefined) this.workerClock.read(answer.val.clockMs);
    this.handleStart(run, answer.val.outcome);
  }

  private startFailed(run: OwnedRun, failure: Failure): void {
    this.log.warn('A start was not answered', {
      taskId: run.task.id,
      run: run.run,
      worker: this.id,
      effect: failure.effect,
      reason: failure.message,
    });
    this.avoidUntilMs = this.options.clock.monotonicMs() + TURNED_AWAY_MS;
    if (failure.effect === 'not-run') {
      this.gone(run, 'the order was not sent');
      return;
    }
    if (run.phase !== 'starting') return;
    const owned = run;
    owned.phase = 'in-doubt';
    // It may be carried out later. A stop that is answered rules that out.
    this.stop(owned, 'the start was not answered');
  }

  private handleStart(run: OwnedRun, outcome: OrderOutcome): void {
    if (outcome === 'done') {
      this.options.listener.onBegun(run);
      if (run.phase === 'starting') this.confirm(run);
      else if (run.confirmedMs === undefined) this.markConfirmed(run);
      return;
    }
    if (outcome === 'stale-token') {
      this.options.listener.onStaleToken(this);
      return;
    }
    if (outcome === 'no-ticket') {
      this.options.listener.onTicketRefused(run);
    } else if (outcome !== 'superseded') {
      this.avoidUntilMs = this.options.clock.monotonicMs() + TURNED_AWAY_MS;
    }
    this.gone(run, `the worker answered ${outcome}`);
  }

  private markConfirmed(run: OwnedRun): void {
    const owned = run;
    owned.confirmedMs = this.options.clock.monotonicMs();
  }

  private async sendStop(run: OwnedRun): Promise<void> {
    const { clock, worker, fencingToken } = this.options;
    const { signal } = this.closed;
    const name = { taskId: run.task.id, run: run.run };
    while (!signal.aborted && this.runs.get(runKey(name.taskId, name.run)) === run) {
      const call = callWithin(clock, ORDER_TIMEOUT_MS, signal);
      const answer = await worker.stop(name, fencingToken, call);
      if (answer.ok && answer.val.outcome === 'stale-token') {
        this.options.listener.onStaleToken(this);
        return;
      }
      if (answer.ok && answer.val.outcome === 'other-life') {
        this.gone(run, 'its worker is gone');
        return;
      }
      if (answer.ok && answer.val.outcome === 'done') {
        // From here on a look that does not list the run shows that it is over.
        if (run.confirmedMs === undefined) this.markConfirmed(run);
        this.wakeup.wake();
        return;
      }
      await clock.sleep(RETRY_MS, signal);
    }
  }

  /** Stops a run that nothing is known of; repeated by the next look that lists it. */
  private stopUnknown(report: RunReport): void {
    const { clock, worker, fencingToken } = this.options;
    this.log.info('Stopping a run that no open task has', {
      taskId: report.taskId,
      run: report.run,
      worker: this.id,
    });
    worker
      .stop(report, fencingToken, callWithin(clock, ORDER_TIMEOUT_MS, this.closed.signal))
      .then((answer) => {
        if (answer.err) {
          this.log.warn('A stop was not answered', {
            taskId: report.taskId,
            run: report.run,
            worker: this.id,
            reason: answer.val.message,
          });
        }
      })
      .catch((error: unknown) => {
        this.log.error('A stop failed', { taskId: report.taskId, reason: String(error) });
      });
  }
}
