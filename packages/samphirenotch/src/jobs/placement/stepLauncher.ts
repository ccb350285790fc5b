/**
 * Starts waiting tasks on workers with free resources.
 */
import { fitsIn, NO_SIZE } from '../../infrastructure/sizes.js';
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import {
  hasWaitingTasks,
  isStepReady,
  isSuspect,
  isTaskWaiting,
  reservedSizeOf,
  type OwnedJob,
  type OwnedStep,
  type OwnedTask,
} from '../model/ownedJob.js';
import type { JobRegistry } from '../store/jobRegistry.js';
import { fillerDemand, FillerHeadroom } from '../pacing/fillerHeadroom.js';
import type { Interference } from '../pacing/interference.js';
import type { OperatorFollower } from '../store/operatorFollower.js';
import type { Term } from '../store/term.js';
import type { OrderBatcher } from '../workers/orderBatcher.js';
import type { SlowWorkerDetector } from '../workers/slowWorkerDetector.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import type { WorkerFleet } from '../workers/workerFleet.js';
import { GangPlacement, type PlannedStart } from './gangPlacement.js';
import { JobExplainer, type JobExplanation } from './jobExplanation.js';
import { LongWaits } from './longWaits.js';
import { UnplaceableSizes } from './unplaceableSizes.js';
import { roomBesideLastingRuns, type RoomOutlook } from './interruptedRoom.js';
import { byInterruption, isOwedRoom, overdueTasks } from './interruptedTasks.js';
import { DrainMoves } from './drainMoves.js';
import { OverdueReservations } from './overdueReservations.js';
import { Preemption } from './preemption.js';
import { RetryOrder } from './retryOrder.js';
import { RoomReservations } from './roomReservations.js';
import type { RunLog } from './runLog.js';
import { ServingMoves } from './servingMoves.js';
import { StartGate } from './startGate.js';
import type { UnplacedStep } from './spillOver.js';
import { Starvation } from './starvation.js';
import { chooseForTrial } from './suspectTrials.js';
import { DeadlineStepOrder, isLate, type StepOrder } from './stepOrder.js';
import type { StepPermissions } from './stepPermissions.js';
import { SpreadPlacement, type PlacementInput, type TaskPlacement } from './taskPlacement.js';
import type { TaskPlaces } from './taskPlaces.js';

/** Dependencies of a `StepLauncher`. */
export interface StepLauncherOptions {
  readonly book: JobRegistry;
  readonly fleet: WorkerFleet;
  readonly operator: OperatorFollower;
  readonly clock: Clock;
  readonly term: Term;
  readonly interference: Interference;
  readonly permissions: StepPermissions;
  readonly slowWorkers: SlowWorkerDetector;
  /** Returns the age of the owner's view of jobs, in milliseconds. */
  readonly viewAgeMs: () => number;
  /** Returns the age of the owner's view of workers, in milliseconds. */
  readonly directoryAgeMs: () => number;
  readonly turns: OrderBatcher;
  /** Returns true if the store has answered lately. */
  readonly isStoreReachable: () => boolean;
  readonly places: TaskPlaces;
  readonly runLog: RunLog;
  /** Called before a start is tracked and sent. */
  readonly onStart: (task: OwnedTask, run: number, agent: WorkerAgent) => void;
}

/**
 * Time limit for the starts of a pass, in milliseconds: answers and lease renewals wait meanwhile.
 */
const PASS_BUDGET_MS = 30;

/**
 * Highest number of starved filler steps, and of long-running and of late steps that were not reached
 * when the pass was cut short, of which a pass still starts one task each.
 */
const MAXIMUM_RESERVED_STARTS = 4;

/** Time after which tasks that wait for the policy service count as unplaced, in milliseconds. */
const MAXIMUM_DECISION_WAIT_MS = 2_000;

/** Time between two updates of the demand of fillers, in milliseconds. */
const DEMAND_REFRESH_INTERVAL_MS = 500;

/** Highest number of workers that a line names. */
const MAX_LOGGED_WORKERS = 5;

const isSameList = (one: readonly WorkerAgent[], other: readonly WorkerAgent[]): boolean =>
  one.length === other.length && one.every((agent, index) => agent === other[index]);

/** A step and how long a pass was busy with it. */
export interface TimedStep {
  readonly step: OwnedStep;
  readonly tookMs: number;
}

/** Starts waiting tasks in passes. */
export class StepLauncher {
  private readonly log = partLog('starts');

  private readonly order: StepOrder = new DeadlineStepOrder();

  private readonly placement: TaskPlacement;

  private readonly gangs: GangPlacement;

  private readonly preemption: Preemption;

  private readonly reservations: RoomReservations;

  private readonly drainMoves: DrainMoves;

  private readonly starvation: Starvation;

  private readonly fillerRoom: FillerHeadroom;

  private readonly moves: ServingMoves;

  private readonly gate: StartGate;

  private readonly retries = new RetryOrder();

  private readonly overdueReservations: OverdueReservations;

  private readonly longWaits = new LongWaits();

  private readonly explainer: JobExplainer;

  private startCount = 0;

  /** Monotonic time at which the pass is cut short, in milliseconds. */
  private passDeadlineMs = 0;

  private wasCutShort = false;

  private slowest: TimedStep | undefined;

  /** Steps that the last pass did not come to before it was cut short. */
  private untriedSteps: readonly OwnedStep[] = [];

  private demandRefreshedMs = Number.NEGATIVE_INFINITY;

  /** Steps with tasks that found no worker in this pass, the most urgent first. */
  private unplacedSteps: OwnedStep[] = [];

  /**
   * Sizes that found no worker in this pass; equal and larger tasks of the same kind are skipped.
   */
  private readonly unplaceable = new UnplaceableSizes();

  /** Workers that accept tasks in this pass, by service. */
  private readonly acceptingOfPass = new Map<string, readonly WorkerAgent[]>();

  /** Those that are not reserved, by service: of this pass, and of the last one that asked. */
  private readonly candidatesOfPass = new Map<string, readonly WorkerAgent[]>();

  private readonly formerCandidates = new Map<string, readonly WorkerAgent[]>();

  /**
   * @param options - jobs, workers and configuration
   */
  constructor(private readonly options: StepLauncherOptions) {
    this.fillerRoom = new FillerHeadroom(options.interference);
    this.placement = new SpreadPlacement(options.interference, this.fillerRoom, options.clock);
    this.gangs = new GangPlacement({
      placement: this.placement,
      chooseForSuspect: (input) => this.chooseWorker(input),
    });
    this.moves = new ServingMoves(this.fillerRoom, this.placement, options.clock);
    this.preemption = new Preemption(options.clock);
    this.reservations = new RoomReservations(options.clock);
    this.overdueReservations = new OverdueReservations({
      clock: options.clock,
      isAtLimit: (task) =>
        this.reservations.isAtLimit(this.reservableWorkers(task), this.isOwed(task)),
      reserve: (task) => this.reserveFor(task),
    });
    this.drainMoves = new DrainMoves({
      reservations: this.reservations,
      isCountdownStored: (from) => options.fleet.isCountdownStored(from),
      isStartable: ({ occurrence: { job } }) =>
        job.isOpen && this.isAccountedFor(job) && options.isStoreReachable(),
      reserve: ({ run, from }) => this.reserveFor(run.task, from),
      hold: ({ run, from }) => this.holdForMove(run.task, from),
      hasBacklog: () => options.turns.hasBacklog,
      clock: options.clock,
    });
    this.starvation = new Starvation(options.clock);
    this.gate = new StartGate(options);
    this.explainer = new JobExplainer({
      ...options,
      placement: this.placement,
      isAccountedFor: (task) => this.isTaskAccountedFor(task),
    });
  }

  /** @returns number of runs started so far */
  get totalStarts(): number {
    return this.startCount;
  }

  /** @returns true if the last pass was cut short before all steps were tried */
  get isCutShort(): boolean {
    return this.wasCutShort;
  }

  /** @returns processors of tasks that wait in untried steps, in thousandths of a core */
  get untriedMilliCores(): number {
    return this.untriedSteps.reduce(
      (sum, { tasks, spec }) => sum + tasks.filter(isTaskWaiting).length * spec.size.milliCores,
      0,
    );
  }

  /** @returns the step that took the last pass longest; undefined if none took any time */
  get slowestStep(): TimedStep | undefined {
    return this.slowest;
  }

  /**
   * Lists steps with tasks that found no worker when they were last tried, without those that still
   * wait for the policy service.
   *
   * @returns the steps, the most urgent first
   */
  unplaced(): readonly UnplacedStep[] {
    const { clock, permissions } = this.options;
    const nowMs = clock.monotonicMs();
    // Of the steps that are not reached, each pass tries only some.
    const untried = new Set(
      this.untriedSteps.filter(
        (step) => step.unplacedSinceMs !== undefined && this.retries.hasFailed(step),
      ),
    );
    // A step that is not reached may get its tickets, and is not tried with them at once.
    const mayBeAllowed = (step: OwnedStep): boolean =>
      permissions.isDecisionPending(step) ||
      (untried.has(step) && step.occurrence.job.queue.policy !== undefined);
    return [...new Set([...this.unplacedSteps, ...untried])]
      .map((step) => ({
        step,
        waitedMs: nowMs - (step.unplacedSinceMs ?? nowMs),
        hasWorkers: this.candidates(step).length > 0,
      }))
      .filter(({ step, waitedMs }) => waitedMs >= MAXIMUM_DECISION_WAIT_MS || !mayBeAllowed(step))
      .filter(({ step }) =>
        step.tasks.every((task) => !isTaskWaiting(task) || this.isTaskAccountedFor(task)),
      );
  }

  /**
   * Explains why the tasks of a job wait.
   *
   * @param job - the job
   * @returns the explanation as of now
   */
  explain(job: OwnedJob): JobExplanation {
    return this.explainer.explain(job);
  }

  /**
   * Tells when a worker has room for an interrupted task.
   *
   * @param task - the task
   * @returns the outlook as of the last pass
   */
  outlookFor(task: OwnedTask): RoomOutlook {
    const size = reservedSizeOf(task);
    const agents = this.reservableWorkers(task).filter(
      (agent) => this.placement.permits(agent, task) && fitsIn(size, agent.description.capacity),
    );
    if (agents.length === 0) return 'never';
    return agents.some((agent) => fitsIn(size, roomBesideLastingRuns(agent))) ? 'soon' : 'later';
  }

  /** Logs why long-running tasks wait that have waited for long. */
  reportLongWaits(): void {
    const { book, clock, fleet } = this.options;
    this.longWaits.due(book.openJobs(), clock.monotonicMs()).forEach(({ task, waitedMs }) => {
      const free = this.candidates(task.step).map((agent) => agent.free().milliCores);
      this.log.warn('A long-running task waits', {
        taskId: task.id,
        waitedMs: Math.round(waitedMs),
        nextRun: task.nextRun,
        waitsFor: this.explainer.waitReason(task),
        place: task.place,
        unreportedWorkers: fleet.unreportedIds.slice(0, MAX_LOGGED_WORKERS).join(' ') || undefined,
        isUntried: this.untriedSteps.includes(task.step),
        milliCores: task.step.spec.size.milliCores,
        mostFreeMilliCores: Math.max(0, ...free),
      });
    });
  }

  /**
   * Starts the waiting tasks that can be started now.
   *
   * @param directoryKnown - true if the list of workers has been read
   */
  pass(directoryKnown: boolean): void {
    const { book, clock } = this.options;
    this.wasCutShort = false;
    this.slowest = undefined;
    this.unplacedSteps = [];
    this.untriedSteps = [];
    if (!directoryKnown || !this.gate.isOpen()) return;
    book.refreshQueues();
    book.openDueOccurrences();
    this.placement.beginPass();
    this.acceptingOfPass.clear();
    this.candidatesOfPass.clear();
    this.unplaceable.clear();
    this.preemption.beginPass();
    this.options.permissions.beginPass();
    const nowMs = clock.monotonicMs();
    this.refreshDemand(nowMs);
    this.startReserved(nowMs);
    const steps = book
      .openJobs()
      .filter((job) => !job.isFullyStarted && this.mayHaveStartableTasks(job))
      .flatMap((job) => this.waitingSteps(job, nowMs));
    const ordered = this.order.sort(steps, nowMs);
    const overdue = this.startableOverdueTasks(ordered, nowMs);
    this.passDeadlineMs = clock.monotonicMs() + PASS_BUDGET_MS;
    if (!this.startOwed(overdue, nowMs)) {
      // Starts of others would take room that is owed to the tasks that were not tried.
      this.untriedSteps = ordered;
      this.wasCutShort = true;
      this.drainMoves.check(this.options.fleet.all());
      return;
    }
    const cutAt = ordered.findIndex((step) => !this.startTimed(step, nowMs));
    const areAllTried = cutAt < 0;
    const starved = this.starvation.starved(ordered);
    const startsBefore = this.startCount;
    starved.slice(0, MAXIMUM_RESERVED_STARTS).forEach((step) => this.startStarved(step, nowMs));
    // If none of these starts, the next pass would try them again.
    const areStarvedStarted = this.startCount > startsBefore;
    this.untriedSteps = areAllTried ? [] : ordered.slice(cutAt + 1);
    this.startSomeUntried(nowMs);
    this.reserveForOverdue(overdue);
    this.drainMoves.check(this.options.fleet.all());
    // Fillers come last.
    const areOthersTried = areAllTried || ordered[cutAt]?.spec.filler === true;
    const areCopiesTried = areOthersTried && this.startSpeculativeCopies();
    const areStarvedLeft = areStarvedStarted && starved.length > MAXIMUM_RESERVED_STARTS;
    this.wasCutShort = !areAllTried || !areCopiesTried || areStarvedLeft;
    if (areAllTried) this.moveServing();
  }

  /** Returns true if the pass should start no further tasks of the kind of a step. */
  private isTimeUpFor({ spec }: OwnedStep): boolean {
    const { clock, turns } = this.options;
    const hasBacklog = spec.filler ? turns.hasFillerBacklog : turns.hasBacklog;
    return hasBacklog || clock.monotonicMs() >= this.passDeadlineMs;
  }

  private refreshDemand(nowMs: number): void {
    if (nowMs < this.demandRefreshedMs + DEMAND_REFRESH_INTERVAL_MS) return;
    this.demandRefreshedMs = nowMs;
    this.fillerRoom.setDemand(fillerDemand(this.options.book.openJobs()));
  }

  private moveServing(): void {
    if (!this.moves.isDue) return;
    const { fleet, operator } = this.options;
    const agents = fleet.usable(operator.view().evacuated);
    this.moves.check(
      agents,
      ({ occurrence }) => this.isAccountedFor(occurrence.job) && !occurrence.job.queue.policy,
    );
  }

  /** Starts tasks on the workers that are reserved for them. */
  private startReserved(nowMs: number): void {
    this.reservations.current().forEach((reservation) => {
      const { agent, task, held } = reservation;
      const isAccepting = this.acceptingWorkers(task.step).includes(agent);
      if (!isAccepting || !this.placement.permits(agent, task)) {
        this.reservations.release(reservation);
        return;
      }
      const needed = held ? NO_SIZE : reservedSizeOf(task);
      if (!agent.fits(needed) || !this.isWaiting(task, nowMs)) return;
      const [allowed] = this.options.permissions.startableWorkers(task.step, [agent]);
      if (!allowed) return;
      this.reservations.release(reservation);
      this.start({ task, agent }, task.nextRun);
    });
  }

  /** Lists the overdue tasks that may start alone, in the order in which they were interrupted. */
  private startableOverdueTasks(steps: readonly OwnedStep[], nowMs: number): readonly OwnedTask[] {
    const tasks = steps
      .filter(({ spec }) => !spec.gang)
      .flatMap((step) => overdueTasks(step, nowMs))
      .filter((task) => task.notBeforeMs <= nowMs && !isSuspect(task))
      .filter((task) => this.isTaskAccountedFor(task));
    return byInterruption(tasks);
  }

  /**
   * Starts overdue tasks that go before all others, on workers that have room. Returns false if the time was up
   * before all were tried.
   */
  private startOwed(overdue: readonly OwnedTask[], nowMs: number): boolean {
    const full = new Set<OwnedStep>();
    const startsBefore = this.startCount;
    for (const task of overdue) {
      const { step } = task;
      if (!isOwedRoom(task, nowMs)) continue;
      if (full.has(step) || this.unplaceable.hasNoRoom(step)) continue;
      if (this.startCount > startsBefore && this.isTimeUpFor(step)) return false;
      const workers = this.startableWorkers(step);
      const agent = this.placement.choose({ task, size: reservedSizeOf(task), workers });
      if (agent) {
        this.start({ task, agent }, task.nextRun);
        continue;
      }
      full.add(step);
      this.unplaceable.add(step);
      step.unplacedSinceMs ??= nowMs;
    }
    return true;
  }

  /** Reserves workers for overdue tasks that have found none. */
  private reserveForOverdue(overdue: readonly OwnedTask[]): void {
    this.overdueReservations.check(
      overdue.filter(
        (task) =>
          isTaskWaiting(task) &&
          task.step.unplacedSinceMs !== undefined &&
          !this.reservations.hasReservation(task),
      ),
    );
  }

  private isOwed(task: OwnedTask): boolean {
    return isOwedRoom(task, this.options.clock.monotonicMs());
  }

  private reservableWorkers({ step }: OwnedTask): readonly WorkerAgent[] {
    return this.options.permissions.startableWorkers(step, this.acceptingWorkers(step));
  }

  /** Returns false if no worker is reserved. */
  private reserveFor(task: OwnedTask, from?: WorkerAgent): boolean {
    const input = {
      task,
      size: reservedSizeOf(task),
      workers: this.reservableWorkers(task),
      isOwed: this.isOwed(task),
      ...(from && { from }),
    };
    return this.reservations.reserve(
      input,
      (agent) => this.placement.permits(agent, task) && !this.isLimitHeld(agent, task.step),
    );
  }

  /** Returns false if no worker has room for the task. */
  private holdForMove(task: OwnedTask, from: WorkerAgent): boolean {
    const { step } = task;
    if (this.unplaceable.hasNoRoom(step)) return false;
    const size = reservedSizeOf(task);
    const startable = this.startableWorkers(step);
    const workers =
      step.spec.perWorkerLimit > 0
        ? startable.filter((agent) => !this.isLimitHeld(agent, step))
        : startable;
    const agent = this.chooseForHold({ task, size, workers });
    if (!agent) {
      this.unplaceable.add(step);
      return false;
    }
    this.reservations.hold(agent, task, from);
    this.placement.invalidate(agent);
    return true;
  }

  /** Tasks that room is held for do not count for the limit per worker until they start. */
  private isLimitHeld(agent: WorkerAgent, step: OwnedStep): boolean {
    return step.spec.perWorkerLimit > 0 && this.reservations.holdsFor(agent, step);
  }

  /** Prefers workers that hold room for others, so that large tasks find room on the rest. */
  private chooseForHold(input: PlacementInput): WorkerAgent | undefined {
    const { dataRack, targetMs } = input.task.step.spec;
    const holders = this.reservations
      .holders()
      .filter((agent) => agent.fits(input.size) && input.workers.includes(agent))
      .filter(({ description }) => dataRack === '' || description.labels.includes(dataRack));
    const holder =
      targetMs === 0 ? this.placement.choose({ ...input, workers: holders }) : undefined;
    return holder ?? this.placement.choose(input);
  }

  /** Cached for the pass, because a pass does not change which workers accept tasks. */
  private acceptingWorkers({ occurrence }: OwnedStep): readonly WorkerAgent[] {
    const { fleet, operator } = this.options;
    const { service } = occurrence.job.queue;
    const known = this.acceptingOfPass.get(service);
    if (known) return known;
    const found = fleet.candidates(service, operator.view().evacuated);
    this.acceptingOfPass.set(service, found);
    return found;
  }

  /** Cached for the pass: workers that it reserves are left out from the next one on. */
  private candidates(step: OwnedStep): readonly WorkerAgent[] {
    const { service } = step.occurrence.job.queue;
    const known = this.candidatesOfPass.get(service);
    if (known) return known;
    const found = this.acceptingWorkers(step).filter(
      (agent) => !this.reservations.isReserved(agent),
    );
    const former = this.formerCandidates.get(service);
    // Costs are kept by list, so an equal list is not replaced.
    const candidates = former && isSameList(former, found) ? former : found;
    this.candidatesOfPass.set(service, candidates);
    this.formerCandidates.set(service, candidates);
    return candidates;
  }

  private startStarved(step: OwnedStep, nowMs: number): void {
    if (!Starvation.hasFreeCapacity(this.candidates(step))) return;
    this.startOneTask(
      step,
      nowMs,
      (input) => this.placement.choose(input) ?? this.placement.chooseLeastDisturbing(input),
    );
  }

  /**
   * Long-running and late tasks come after those that can be in time when capacity is scarce, but must
   * not be left out because passes run out of time.
   */
  private startSomeUntried(nowMs: number): void {
    const steps = this.untriedSteps.filter(({ spec }) => !spec.filler);
    const lasting = steps.filter(({ spec }) => spec.longRunning);
    const late = steps.filter((step) => isLate(step, nowMs));
    [lasting, late]
      .flatMap((each) => this.retries.next(each, MAXIMUM_RESERVED_STARTS))
      .forEach((step) => this.tryUntried(step, nowMs));
  }

  /** Starts one task of a step that the pass did not reach, or the whole step if it is a gang. */
  private tryUntried(step: OwnedStep, nowMs: number): void {
    const startsBefore = this.startCount;
    if (step.spec.gang) this.startGang(step, this.startableWorkers(step), nowMs);
    else this.startOneTask(step, nowMs, (input) => this.placement.choose(input));
    const isStarted = this.startCount > startsBefore;
    this.retries.record(step, isStarted);
    const owned = step;
    if (isStarted) owned.unplacedSinceMs = undefined;
    else if (!step.spec.gang) this.noteUnplaced(step, nowMs);
    if (step.occurrence.job.queue.policy) this.requestTickets(step, this.candidates(step), nowMs);
  }

  private startableWorkers(step: OwnedStep): readonly WorkerAgent[] {
    return this.options.permissions.startableWorkers(step, this.candidates(step));
  }

  private startOneTask(
    step: OwnedStep,
    nowMs: number,
    choose: (input: PlacementInput) => WorkerAgent | undefined,
  ): void {
    const task = step.tasks.find((each) => this.isWaiting(each, nowMs));
    if (!task || step.spec.gang) return;
    const input = { task, size: reservedSizeOf(task), workers: this.startableWorkers(step) };
    const agent = isSuspect(task) ? this.chooseWorker(input) : choose(input);
    if (agent) this.start({ task, agent }, task.nextRun);
  }

  /**
   * Starts copies of slow runs on capacity that no waiting task has taken; fillers take no processors.
   * Returns false if the time was up before all were tried.
   */
  private startSpeculativeCopies(): boolean {
    const { permissions, slowWorkers } = this.options;
    const tasks = slowWorkers.stragglers().filter((task) => {
      const { job } = task.step.occurrence;
      return job.isOpen && this.isAccountedFor(job) && !isSuspect(task);
    });
    return tasks.every((task) => {
      const { step } = task;
      const others = this.candidates(step).filter((agent) =>
        task.runs.every((run) => run.agent !== agent),
      );
      const workers = permissions.startableWorkers(step, others);
      const agent = this.placement.choose({ task, size: reservedSizeOf(task), workers });
      if (!agent) return true;
      this.start({ task, agent }, task.nextRun);
      return !this.isTimeUpFor(step);
    });
  }

  /**
   * Returns false while tasks of the job may run unnoticed, on workers of the former owner that
   * have not yet reported.
   */
  private isAccountedFor(job: OwnedJob): boolean {
    const { fleet, term } = this.options;
    // A job learned of after the lease may have expired can belong to a successor.
    if (job.knownSinceMs > term.leaseValidUntilMs()) return false;
    return !fleet.hasUnreportedWorkers || job.revision > term.fencingToken;
  }

  private mayHaveStartableTasks(job: OwnedJob): boolean {
    if (this.isAccountedFor(job)) return true;
    const { term } = this.options;
    return job.hasStoredPlaces && job.knownSinceMs <= term.leaseValidUntilMs();
  }

  /** Tells whether a task cannot run unnoticed on a worker of the former owner. */
  private isTaskAccountedFor(task: OwnedTask): boolean {
    const { job } = task.step.occurrence;
    if (this.isAccountedFor(job)) return true;
    return this.mayHaveStartableTasks(job) && this.options.places.isAccountedFor(task);
  }

  private waitingSteps(job: OwnedJob, nowMs: number): readonly OwnedStep[] {
    const wallMs = this.options.clock.wallMs();
    const found: OwnedStep[] = [];
    const owned = job;
    owned.isFullyStarted = true;
    job.occurrences.forEach(({ steps, dueAtMs }) =>
      steps.forEach((step) => {
        if (!hasWaitingTasks(step) || !isStepReady(step)) return;
        owned.isFullyStarted = false;
        if (dueAtMs > wallMs) return;
        if (step.tasks.some((task) => this.isWaiting(task, nowMs))) found.push(step);
      }),
    );
    return found;
  }

  private isWaiting(task: OwnedTask, nowMs: number): boolean {
    if (!isTaskWaiting(task) || task.notBeforeMs > nowMs) return false;
    // The other jobs of a pass are accounted for as a whole.
    return !task.step.occurrence.job.hasStoredPlaces || this.isTaskAccountedFor(task);
  }

  /** Starts a step as `startStep` does, and notes how long that took. */
  private startTimed(step: OwnedStep, nowMs: number): boolean {
    const { clock } = this.options;
    const startMs = clock.monotonicMs();
    const areAllTried = this.startStep(step, nowMs);
    const tookMs = clock.monotonicMs() - startMs;
    if (tookMs > (this.slowest?.tookMs ?? 0)) this.slowest = { step, tookMs };
    return areAllTried;
  }

  /** Returns false if the time was up before all tasks of the step were tried. */
  private startStep(step: OwnedStep, nowMs: number): boolean {
    const { job } = step.occurrence;
    if (!job.isOpen) return true;
    const candidates = this.candidates(step);
    const workers = this.startableWorkers(step);
    if (step.spec.gang) this.startGang(step, workers, nowMs);
    else if (!this.startTasks(step, workers, nowMs)) return false;
    if (job.queue.policy) this.requestTickets(step, candidates, nowMs);
    return true;
  }

  /** Requests tickets if tasks of the step still wait. */
  private requestTickets(step: OwnedStep, workers: readonly WorkerAgent[], nowMs: number): void {
    const task = step.tasks.find((each) => this.isWaiting(each, nowMs));
    if (!task) return;
    this.options.permissions.requestTickets(
      step,
      this.placement.rank({ task, size: reservedSizeOf(task), workers }),
    );
  }

  /** Returns false if the time was up before all tasks were tried. */
  private startTasks(step: OwnedStep, workers: readonly WorkerAgent[], nowMs: number): boolean {
    if (this.unplaceable.includes(step)) {
      this.noteUnplaced(step, nowMs);
      return true;
    }
    let hasWaitingSuspects = false;
    for (const task of step.tasks.filter((each) => this.isWaiting(each, nowMs))) {
      const size = reservedSizeOf(task);
      const agent = this.unplaceable.hasNoRoom(step)
        ? undefined
        : this.chooseWorker({ task, size, workers });
      if (!agent && isSuspect(task)) {
        hasWaitingSuspects = true;
        continue;
      }
      if (!agent) {
        this.unplaceable.add(step);
        this.noteUnplaced(step, nowMs);
        this.preemptFor(task, workers);
        // All tasks of a step have the same size.
        return true;
      }
      this.start({ task, agent }, task.nextRun);
      if (this.isTimeUpFor(step)) return false;
    }
    if (hasWaitingSuspects) {
      this.noteUnplaced(step, nowMs);
      return true;
    }
    const placed = step;
    placed.unplacedSinceMs = undefined;
    return true;
  }

  private chooseWorker(input: PlacementInput): WorkerAgent | undefined {
    if (!isSuspect(input.task)) return this.placement.choose(input);
    // Nothing starts beside a trial, so what room is held for would have to wait.
    const holders = new Set(this.reservations.holders());
    const ranked = this.placement.rank(input).filter((agent) => !holders.has(agent));
    return chooseForTrial(input.task, ranked, input.workers);
  }

  private noteUnplaced(step: OwnedStep, nowMs: number): void {
    const unplaced = step;
    unplaced.unplacedSinceMs ??= nowMs;
    this.unplacedSteps.push(step);
  }

  /**
   * Stops less urgent runs for a task. Not for long-running tasks, which would keep the capacity,
   * nor for fillers.
   */
  private preemptFor(task: OwnedTask, workers: readonly WorkerAgent[]): void {
    const { filler, longRunning } = task.step.spec;
    if (filler || longRunning) return;
    const input = { task, size: reservedSizeOf(task), workers };
    this.preemption.makeRoom(
      input,
      (agent) => !agent.hasTrial && this.placement.permits(agent, task),
    );
  }

  /** Starts all tasks of a gang together, or none. */
  private startGang(step: OwnedStep, workers: readonly WorkerAgent[], nowMs: number): void {
    const members = step.tasks.filter(({ done }) => !done);
    if (!members.every((task) => this.isWaiting(task, nowMs))) return;
    const run = Math.max(...members.map(({ nextRun }) => nextRun));
    const checkpoint = members.map((task) => task.checkpoint).find((each) => each !== '') ?? '';
    const racks = step.spec.sameRack ? this.racksOf(workers) : [];
    const found = this.placeInFirst(members, [...racks, workers]);
    if (!found) {
      this.noteUnplaced(step, nowMs);
      return;
    }
    found.forEach(({ task, agent }) => {
      const member = task;
      member.checkpoint = checkpoint;
      this.start({ task: member, agent }, run);
    });
  }

  private placeInFirst(
    members: readonly OwnedTask[],
    groups: readonly (readonly WorkerAgent[])[],
  ): readonly PlannedStart[] | undefined {
    for (const workers of groups) {
      const starts = this.gangs.place(members, workers);
      if (starts) return starts;
    }
    return undefined;
  }

  private racksOf(workers: readonly WorkerAgent[]): readonly (readonly WorkerAgent[])[] {
    const racks = new Map<string, WorkerAgent[]>();
    workers.forEach((agent) => {
      const rack = agent.description.labels.at(-1) ?? '';
      const known = racks.get(rack);
      if (known) known.push(agent);
      else racks.set(rack, [agent]);
    });
    return [...racks.values()];
  }

  private start({ task, agent }: PlannedStart, run: number): void {
    const { places, runLog } = this.options;
    const owned = task;
    owned.nextRun = run + 1;
    this.startCount += 1;
    const formerPlace = task.place;
    this.options.onStart(task, run, agent);
    const whenPlaced = places.claim(task, agent);
    runLog.noteStart(task, run, agent, formerPlace);
    const ticket = this.options.permissions.ticketFor(task.step, agent);
    const mayStart = (): boolean => this.gate.isOpen() && this.isUsable(agent);
    agent.start(task, run, reservedSizeOf(task), ticket, whenPlaced, mayStart);
    this.placement.invalidate(agent);
  }

  private isUsable(agent: WorkerAgent): boolean {
    const { fleet, operator } = this.options;
    return fleet.isUsable(agent, operator.view().evacuated);
  }
}
