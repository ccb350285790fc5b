/**
 * Moves long-running tasks away from draining workers.
 *
 * A run goes on until another worker has room that is kept for its task, so that the task is away only as
 * long as it takes to stop and to start it. `RunSupervisor` stops what is left when the time is up.
 */
import type { Clock } from '../../time/clock.js';

import { isSuspect, reservedSizeOf, type OwnedRun, type OwnedStep } from '../model/ownedJob.js';
import { isStopOverdue } from '../workers/runSupervisor.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import { RetryOrder } from './retryOrder.js';
import type { RoomReservations } from './roomReservations.js';

/** Number of steps for whose runs a pass tries to reserve a worker. */
const MAXIMUM_TRIES = 4;

/** Time limit for finding room in a pass, in milliseconds. */
const BUDGET_MS = 10;

/** Number of runs for which a pass looks for room even if it has no time left. */
const MINIMUM_SEARCHES = 4;

/** A run and the worker that it has to leave. */
export interface LeavingRun {
  readonly run: OwnedRun;
  readonly from: WorkerAgent;
}

/** Collaborators of `DrainMoves`. */
export interface DrainMovesOptions {
  readonly reservations: RoomReservations;
  /** Returns false while a successor would not know how long the lease of a draining worker lasts. */
  readonly isCountdownStored: (from: WorkerAgent) => boolean;
  /** Returns true if tasks of a step may be started. */
  readonly isStartable: (step: OwnedStep) => boolean;
  /** Reserves a worker for the task of a run; returns false if none has room or is about to. */
  readonly reserve: (leaving: LeavingRun) => boolean;
  /** Holds room for the task of a run; returns false if no worker has it now. */
  readonly hold: (leaving: LeavingRun) => boolean;
  /** Returns true while too many orders wait to be sent. */
  readonly hasBacklog: () => boolean;
  readonly clock: Clock;
}

/** Moves tasks in passes. */
export class DrainMoves {
  private readonly tries = new RetryOrder();

  /** Steps for whose tasks no worker had room since all leaving tasks were last gone through. */
  private readonly stepsWithoutRoom = new Set<OwnedStep>();

  /** True if the last pass had no time to look for room for all leaving tasks. */
  private wasCutShort = false;

  /**
   * @param options - reservations, and what decides about them
   */
  constructor(private readonly options: DrainMovesOptions) {}

  /**
   * Stops the runs for whose tasks other workers have room, and reserves workers for some of the others.
   *
   * @param agents - all workers
   */
  check(agents: readonly WorkerAgent[]): void {
    const waiting = new Map<OwnedStep, LeavingRun>();
    const search = this.beginSearch();
    this.wasCutShort = false;
    this.leavingRuns(agents).forEach((leaving) => {
      const { run, from } = leaving;
      const { step } = run.task;
      if (this.options.reservations.isHeldFor(run.task)) return;
      if (this.holdReserved(leaving) || search(leaving))
        from.stop(run, 'its worker drains, another has room');
      else if (!this.options.reservations.hasReservation(run.task) && !waiting.has(step))
        waiting.set(step, leaving);
    });
    // The steps that a pass had no time for come first in the next one.
    if (!this.wasCutShort) this.stepsWithoutRoom.clear();
    this.tries.next([...waiting.keys()], MAXIMUM_TRIES).forEach((step) => {
      const leaving = waiting.get(step);
      if (leaving) this.tries.record(step, this.options.reserve(leaving));
    });
  }

  /** Holds room on the reserved worker once it has it, so that another task can reserve a worker. */
  private holdReserved({ run: { task }, from }: LeavingRun): boolean {
    const { reservations } = this.options;
    const to = reservations.reservedFor(task);
    if (!to?.fits(reservedSizeOf(task))) return false;
    reservations.hold(to, task, from);
    return true;
  }

  /** Returns a function that holds room for one run after the other until the time of the pass is up. */
  private beginSearch(): (leaving: LeavingRun) => boolean {
    const { clock, hasBacklog, hold } = this.options;
    const deadlineMs = clock.monotonicMs() + BUDGET_MS;
    let searches = 0;
    return (leaving) => {
      const { step } = leaving.run.task;
      if (this.stepsWithoutRoom.has(step)) return false;
      const isTimeUp = hasBacklog() || clock.monotonicMs() >= deadlineMs;
      if (isTimeUp && searches >= MINIMUM_SEARCHES) {
        this.wasCutShort = true;
        return false;
      }
      searches += 1;
      const isHeld = hold(leaving);
      if (!isHeld) this.stepsWithoutRoom.add(step);
      return isHeld;
    };
  }

  /** Lists the runs that may move, those first that have to stop first. */
  private leavingRuns(agents: readonly WorkerAgent[]): readonly LeavingRun[] {
    return agents
      .filter(({ isResponsive, description }) => isResponsive && description.phase === 'draining')
      .filter((agent) => this.options.isCountdownStored(agent))
      .sort((left, right) => (left.leavesAtMs ?? 0) - (right.leavesAtMs ?? 0))
      .flatMap((from) =>
        from
          .activeRuns()
          .filter((run) => this.isMovable(run))
          .map((run) => ({ run, from })),
      );
  }

  /** A run that is being stopped needs a place as well: it may have none, or lose it. */
  private isLeaving(run: OwnedRun): boolean {
    if (run.phase !== 'stopping') return run.phase === 'running';
    const nowMs = this.options.clock.monotonicMs();
    return run.stopOrderedMs !== undefined && !isStopOverdue(run, nowMs);
  }

  private isMovable(run: OwnedRun): boolean {
    const { task } = run;
    const { longRunning, gang, filler } = task.step.spec;
    return (
      this.isLeaving(run) &&
      longRunning &&
      !gang &&
      !filler &&
      task.runs.length === 1 &&
      !isSuspect(task) &&
      this.options.isStartable(task.step)
    );
  }
}
