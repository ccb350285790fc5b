/**
 * Reserves room for interrupted tasks that no worker has enough room for, and for tasks that move away from
 * a worker that leaves.
 *
 * A worker with enough room holds just the room of the task, and other tasks use the rest. Elsewhere room
 * becomes free in pieces, and smaller tasks would take each of them: there the worker is reserved, and
 * nothing else starts on it. Both end when the task has started, the worker accepts no tasks any more or
 * the time is up.
 */
import { fitsIn, plusSize } from '../../infrastructure/sizes.js';
import type { Size } from '../../infrastructure/worker.js';
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import { isSuspect, reservedSizeOf, type OwnedStep, type OwnedTask } from '../model/ownedJob.js';
import { remainingRunMs } from '../workers/runSupervisor.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import type { PlacementInput } from './taskPlacement.js';

/** Highest fraction of the workers of a service that are reserved at the same time; at least one is. */
const MAXIMUM_RESERVED_FRACTION = 0.05;

/** The same for tasks that go before all others, with the workers that are reserved for others. */
const MAXIMUM_OWED_FRACTION = 0.25;

/**
 * Time until a reservation expires, in milliseconds; workers that are expected to have room later are
 * not reserved.
 */
const MAXIMUM_RESERVATION_MS = 2_000;

/** Time for which a worker is not reserved after a reservation of it has expired, in milliseconds. */
const EXPIRY_BACKOFF_MS = 4_000;

/** A worker that is kept for a task, or room on it. */
export interface RoomReservation {
  readonly agent: WorkerAgent;
  readonly task: OwnedTask;
  /** The worker that the task moves away from; undefined if it waits. */
  readonly from: WorkerAgent | undefined;
  /** The room that is held; undefined if the worker is reserved. */
  readonly held: Size | undefined;
  /** True if the worker is reserved for a task that goes before all others. */
  readonly isOwed: boolean;
  readonly untilMs: number;
}

/** What a reservation is for. */
export interface ReservationInput extends PlacementInput {
  /** The worker that the task moves away from; undefined if it waits. */
  readonly from?: WorkerAgent;
  /** True if the task goes before all others; false by default. */
  readonly isOwed?: boolean;
}

const isNeeded = ({ task, from }: RoomReservation): boolean =>
  !task.done &&
  !task.isElsewhere &&
  !isSuspect(task) &&
  task.runs.every(({ agent }) => agent === from) &&
  task.step.occurrence.job.isOpen;

/** Keeps track of reserved workers and held room. */
export class RoomReservations {
  private readonly log = partLog('reservations');

  /** Reservations of workers. */
  private readonly byWorker = new Map<WorkerAgent, RoomReservation>();

  /** Held room, by the task that it is for. */
  private readonly holds = new Map<OwnedTask, RoomReservation>();

  /** Monotonic time until which a worker is not reserved, in milliseconds. */
  private readonly backoffUntilMs = new WeakMap<WorkerAgent, number>();

  /**
   * @param clock - time
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Drops the reservations that have expired or whose task no longer waits.
   *
   * @returns the others
   */
  current(): readonly RoomReservation[] {
    const nowMs = this.clock.monotonicMs();
    this.byWorker.forEach((reservation, agent) => {
      const isExpired = nowMs >= reservation.untilMs;
      if (!isExpired && isNeeded(reservation)) return;
      this.byWorker.delete(agent);
      if (isExpired) this.backoffUntilMs.set(agent, nowMs + EXPIRY_BACKOFF_MS);
    });
    this.holds.forEach((hold) => {
      if (nowMs >= hold.untilMs || !isNeeded(hold)) this.release(hold);
    });
    return [...this.holds.values(), ...this.byWorker.values()];
  }

  /**
   * Checks whether a worker is reserved.
   *
   * @param agent - the worker
   * @returns true if it is kept for a task
   */
  isReserved(agent: WorkerAgent): boolean {
    return this.byWorker.has(agent);
  }

  /**
   * Lists the workers that hold room.
   *
   * @returns the workers, in the order in which they began to
   */
  holders(): readonly WorkerAgent[] {
    return [...new Set([...this.holds.values()].map(({ agent }) => agent))];
  }

  /**
   * Checks whether a worker holds room for a task of a step.
   *
   * @param agent - the worker
   * @param step - the step
   * @returns true if it does
   */
  holdsFor(agent: WorkerAgent, step: OwnedStep): boolean {
    return [...this.holds.values()].some((hold) => hold.agent === agent && hold.task.step === step);
  }

  /**
   * Checks whether room is held for a task.
   *
   * @param task - the task
   * @returns true if it is
   */
  isHeldFor(task: OwnedTask): boolean {
    return this.holds.has(task);
  }

  /**
   * Checks whether a task has room held or a worker reserved.
   *
   * @param task - the task
   * @returns true if it has
   */
  hasReservation(task: OwnedTask): boolean {
    return this.reservedFor(task) !== undefined;
  }

  /**
   * Finds the worker that is reserved for a task or holds room for it.
   *
   * @param task - the task
   * @returns the worker, or undefined if there is none
   */
  reservedFor(task: OwnedTask): WorkerAgent | undefined {
    return this.holds.get(task)?.agent ?? this.findReservation(task)?.agent;
  }

  /**
   * Ends a reservation.
   *
   * @param reservation - the reservation
   */
  release({ agent, task, held }: RoomReservation): void {
    if (!held) {
      this.byWorker.delete(agent);
      return;
    }
    if (this.holds.delete(task)) agent.unhold(held);
  }

  /**
   * Holds room for a task on a worker, in place of the worker that is reserved for it.
   *
   * @param agent - the worker, which has the room
   * @param task - the task
   * @param from - the worker that the task moves away from
   */
  hold(agent: WorkerAgent, task: OwnedTask, from: WorkerAgent): void {
    const former = this.findReservation(task);
    if (former) this.release(former);
    const size = reservedSizeOf(task);
    const untilMs = this.clock.monotonicMs() + MAXIMUM_RESERVATION_MS;
    this.log.info('Room is held for a task', {
      taskId: task.id,
      worker: agent.id,
      from: from.id,
      milliCores: size.milliCores,
      freeMilliCores: agent.free().milliCores,
    });
    this.holds.set(task, { agent, task, from, held: size, isOwed: false, untilMs });
    agent.hold(size);
  }

  /**
   * Checks whether no more workers may be reserved.
   *
   * @param workers - the workers of a service that accept tasks
   * @param isOwed - true for a task that goes before all others
   * @returns true if as many are reserved as may be
   */
  isAtLimit(workers: readonly WorkerAgent[], isOwed = false): boolean {
    const fraction = isOwed ? MAXIMUM_OWED_FRACTION : MAXIMUM_RESERVED_FRACTION;
    const reserved = workers.filter((agent) => {
      const reservation = this.byWorker.get(agent);
      return reservation !== undefined && (isOwed || !reservation.isOwed);
    }).length;
    return reserved + 1 > Math.max(1, fraction * workers.length);
  }

  /**
   * Reserves the worker that is expected to have room for a task first.
   *
   * @param input - the task and the workers of its service that accept tasks
   * @param permits - returns true if a worker may run the task
   * @returns false if none is expected to have room soon, or if too many are reserved
   */
  reserve(input: ReservationInput, permits: (agent: WorkerAgent) => boolean): boolean {
    const { size, workers, isOwed } = input;
    if (this.isAtLimit(workers, isOwed)) return false;
    const nowMs = this.clock.monotonicMs();
    let earliest: WorkerAgent | undefined;
    let leastMs = MAXIMUM_RESERVATION_MS;
    workers.forEach((agent) => {
      if (this.isReserved(agent) || agent.hasTrial || !permits(agent)) return;
      if (nowMs < (this.backoffUntilMs.get(agent) ?? 0)) return;
      const waitMs = RoomReservations.timeUntilRoomMs(agent, size, nowMs);
      if (waitMs >= leastMs) return;
      earliest = agent;
      leastMs = waitMs;
    });
    if (!earliest) return false;
    this.add(earliest, input, nowMs);
    return true;
  }

  private add(agent: WorkerAgent, input: ReservationInput, nowMs: number): void {
    const { task, from, isOwed = false } = input;
    const untilMs = nowMs + MAXIMUM_RESERVATION_MS;
    this.byWorker.set(agent, { agent, task, from, held: undefined, isOwed, untilMs });
    this.log.info('A worker is reserved for a task', {
      taskId: task.id,
      worker: agent.id,
      from: from?.id,
      milliCores: task.step.spec.size.milliCores,
      freeMilliCores: agent.free().milliCores,
    });
  }

  private findReservation(task: OwnedTask): RoomReservation | undefined {
    return [...this.byWorker.values()].find((reservation) => reservation.task === task);
  }

  /** Estimates when enough runs will have ended; infinite if that is not expected. */
  private static timeUntilRoomMs(
    agent: WorkerAgent,
    size: PlacementInput['size'],
    nowMs: number,
  ): number {
    let room = agent.free();
    if (fitsIn(size, room)) return 0;
    const ends = agent
      .activeRuns()
      .filter((run) => !run.task.step.spec.longRunning)
      .map((run) => ({ size: run.size, leftMs: remainingRunMs(run, nowMs) }))
      .sort((left, right) => left.leftMs - right.leftMs);
    for (const end of ends) {
      room = plusSize(room, end.size);
      if (fitsIn(size, room)) return end.leftMs;
    }
    return Number.POSITIVE_INFINITY;
  }
}
