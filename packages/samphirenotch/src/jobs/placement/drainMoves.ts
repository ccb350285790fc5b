/**
 * Moves long-running tasks away from draining workers.
 *
 * A run goes on until another worker is reserved for its task and has room, so that the task is away only
 * as long as it takes to stop and to start it. `RunSupervisor` stops what is left when the time is up.
 */
import { isSuspect, reservedSizeOf, type OwnedRun, type OwnedStep } from '../model/ownedJob.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import { RetryOrder } from './retryOrder.js';
import type { RoomReservations } from './roomReservations.js';

/** Number of steps for whose runs a pass tries to reserve a worker. */
const MAXIMUM_TRIES = 4;

/** A run and the worker that it has to leave. */
export interface LeavingRun {
  readonly run: OwnedRun;
  readonly from: WorkerAgent;
}

/** Collaborators of `DrainMoves`. */
export interface DrainMovesOptions {
  readonly reservations: RoomReservations;
  /** Returns true if tasks of a step may be started. */
  readonly isStartable: (step: OwnedStep) => boolean;
  /** Reserves a worker for the task of a run; returns false if none has room or is about to. */
  readonly reserve: (leaving: LeavingRun) => boolean;
}

/** Moves tasks in passes. */
export class DrainMoves {
  private readonly tries = new RetryOrder();

  /**
   * @param options - reservations, and what decides about them
   */
  constructor(private readonly options: DrainMovesOptions) {}

  /**
   * Stops the runs whose next worker has room, and reserves workers for some of the others.
   *
   * @param agents - all workers
   */
  check(agents: readonly WorkerAgent[]): void {
    const leaving = agents
      .filter(({ isResponsive, description }) => isResponsive && description.phase === 'draining')
      .sort((left, right) => (left.leavesAtMs ?? 0) - (right.leavesAtMs ?? 0))
      .flatMap((from) =>
        from
          .activeRuns()
          .filter((run) => this.isMovable(run))
          .map((run) => ({ run, from })),
      );
    const waiting = new Map<OwnedStep, LeavingRun>();
    leaving.forEach((each) => {
      const { run, from } = each;
      const to = this.options.reservations.reservedFor(run.task);
      if (to?.fits(reservedSizeOf(run.task))) from.stop(run, 'its worker drains, another has room');
      else if (!to && !waiting.has(run.task.step)) waiting.set(run.task.step, each);
    });
    this.tries.next([...waiting.keys()], MAXIMUM_TRIES).forEach((step) => {
      const each = waiting.get(step);
      if (each) this.tries.record(step, this.options.reserve(each));
    });
  }

  private isMovable({ phase, task }: OwnedRun): boolean {
    const { longRunning, gang, filler } = task.step.spec;
    return (
      phase === 'running' &&
      longRunning &&
      !gang &&
      !filler &&
      task.runs.length === 1 &&
      !isSuspect(task) &&
      this.options.isStartable(task.step)
    );
  }
}
