/**
 * Reserves workers for interrupted tasks that no worker has enough room for, and for tasks that move away
 * from a worker that leaves.
 *
 * Room becomes free in pieces, and smaller tasks would take each of them. Nothing else starts on a
 * reserved worker, until the task has started, the worker accepts no tasks any more or the reservation
 * expires.
 */
import { fitsIn, plusSize } from '../../infrastructure/sizes.js';
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedTask } from '../model/ownedJob.js';
import { remainingRunMs } from '../workers/runSupervisor.js';
import type { WorkerAgent } from '../workers/workerAgent.js';
import type { PlacementInput } from './taskPlacement.js';

/** Highest fraction of the workers of a service that are reserved at the same time; at least one is. */
const MAXIMUM_RESERVED_FRACTION = 0.05;

/** The same for tasks that are owed room, with the workers that are reserved for others. */
const MAXIMUM_OWED_FRACTION = 0.25;

/**
 * Time until a reservation expires, in milliseconds; workers that are expected to have room later are
 * not reserved.
 */
const MAXIMUM_RESERVATION_MS = 2_000;

/** Time for which a worker is not reserved after a reservation of it has expired, in milliseconds. */
const EXPIRY_BACKOFF_MS = 4_000;

/** A worker that is kept for a task. */
export interface RoomReservation {
  readonly agent: WorkerAgent;
  readonly task: OwnedTask;
  /** The worker that the task moves away from; undefined if it waits. */
  readonly from: WorkerAgent | undefined;
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
  task.runs.every(({ agent }) => agent === from) &&
  task.step.occurrence.job.isOpen;

/** Keeps track of reserved workers. */
export class RoomReservations {
  private readonly log = partLog('reservations');

  private readonly byWorker = new Map<WorkerAgent, RoomReservation>();

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
    return [...this.byWorker.values()];
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
   * Checks whether a worker is reserved for a task.
   *
   * @param task - the task
   * @returns true if there is one
   */
  hasReservation(task: OwnedTask): boolean {
    return this.reservedFor(task) !== undefined;
  }

  /**
   * Finds the worker that is reserved for a task.
   *
   * @param task - the task
   * @returns the worker, or undefined if there is none
   */
  reservedFor(task: OwnedTask): WorkerAgent | undefined {
    return [...this.byWorker.values()].find((reservation) => reservation.task === task)?.agent;
  }

  /**
   * Ends the reservation of a worker.
   *
   * @param agent - the worker
   */
  release(agent: WorkerAgent): void {
    this.byWorker.delete(agent);
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
    const reserved = workers.filter((agent) => this.isReserved(agent)).length;
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

  private add(agent: WorkerAgent, { task, from }: ReservationInput, nowMs: number): void {
    this.byWorker.set(agent, { agent, task, from, untilMs: nowMs + MAXIMUM_RESERVATION_MS });
    this.log.info('A worker is reserved for a task', {
      taskId: task.id,
      worker: agent.id,
      from: from?.id,
      milliCores: task.step.spec.size.milliCores,
      freeMilliCores: agent.free().milliCores,
    });
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
