/**
 * Reserves room for attempts on the workers of one shard.
 */
import type { TaskClass } from '../config/objects.js';
import type { PlacementCandidate } from '../decisions/placementPolicy.js';
import type { Grant } from '../membership/ownership.js';
import { dataCentreOf } from '../membership/rendezvous.js';
import type { Size } from '../infrastructure/worker.js';
import { requestRoom } from './requestRoom.js';
import type { ShardParts } from './shardParts.js';
import type { NoRoomReason, PlacementOutcome, PlacementRequest } from './shardService.js';
import type { ShardWorker } from './shardWorker.js';
import { fitsIn, remainingSize, smallerOf } from '../infrastructure/sizes.js';
import { SendGuard } from './sendGuard.js';
import type { TrackedAttempt } from './trackedAttempt.js';

/** A reservation expires if its attempt is not started within this time, in milliseconds. */
export const RESERVATION_TIMEOUT_MS = 10_000;

/** Chooses workers for attempts, and reserves room there. */
export class Placement {
  private reservationCount = 0;

  private readonly guard: SendGuard;

  /**
   * @param parts - dependencies that all shards share
   * @param grant - ownership of the shard
   */
  constructor(
    private readonly parts: ShardParts,
    private readonly grant: Grant,
  ) {
    this.guard = new SendGuard(parts.configuration);
  }

  /**
   * Reserves room for an attempt. A repeated call for the same attempt returns the same
   * reservation.
   *
   * @param request - the attempt to place
   * @param workers - workers of the shard
   * @returns the reservation, or the reason why nothing was reserved
   */
  reserve(request: PlacementRequest, workers: readonly ShardWorker[]): PlacementOutcome {
    this.dropExpiredReservations(workers);
    const existing = this.findExisting(request.attemptId, workers);
    if (existing) return existing;
    const refusal = this.findRefusal(request, workers);
    if (refusal) return { kind: 'refused', reason: refusal };
    const size = this.countedSize(request, workers);
    const open = workers.filter(({ owned, stopCommands }) => {
      const isBlocked = stopCommands.isBlocked(request.attemptId);
      return owned.acceptsNewWork() && !isBlocked && !request.excludedWorkers.includes(owned.id);
    });
    const chosen = this.choose(request, size, open);
    if (!chosen) return { kind: 'refused', reason: 'no-room-now' };
    return this.reserveAt(chosen, request, size);
  }

  private findRefusal(
    request: PlacementRequest,
    workers: readonly ShardWorker[],
  ): NoRoomReason | undefined {
    const refusal = this.guard.refuseDataCentre(this.dataCentre());
    if (refusal === 'data-centre-out') return 'data-centre-out';
    if (refusal) return 'configuration-stale';
    const taskClass = this.taskClass(request);
    const isAllowed = !taskClass || taskClass.dataCentres.includes(this.dataCentre());
    if (!isAllowed) return 'never-fits';
    if (workers.length === 0) return 'no-room-now';
    const fitsSomewhere = workers.some((worker) =>
      fitsIn(request.declaredSize, this.maximumAttemptSize(worker)),
    );
    return fitsSomewhere ? undefined : 'never-fits';
  }

  /**
   * Estimates the size of the attempt. An estimate that no worker can hold is limited to the
   * largest worker, by memory, that can hold the declared size.
   */
  private countedSize(request: PlacementRequest, workers: readonly ShardWorker[]): Size {
    const estimate = this.parts.sizes.estimate(request.taskClass, request.declaredSize);
    const attemptSizes = workers
      .map((worker) => this.maximumAttemptSize(worker))
      .filter((room) => fitsIn(request.declaredSize, room));
    if (attemptSizes.some((room) => fitsIn(estimate, room))) return estimate;
    const [first] = attemptSizes.sort((left, right) => right.memoryMb - left.memoryMb);
    return first ? smallerOf(estimate, first) : estimate;
  }

  private choose(
    request: PlacementRequest,
    size: Size,
    open: readonly ShardWorker[],
  ): ShardWorker | undefined {
    const candidates = open
      .map((worker) => this.candidate(worker))
      .filter(({ free }) => fitsIn(size, free));
    if (candidates.length === 0) return undefined;
    const task = {
      taskClass: request.taskClass,
      size,
      classTasksPerRack: this.countPerRack(request.taskClass, open),
    };
    const chosen = this.parts.placement.choose(task, candidates);
    return open.find(({ owned }) => owned.id === chosen?.workerId);
  }

  private candidate({ owned }: ShardWorker): PlacementCandidate {
    return {
      workerId: owned.id,
      rack: owned.listed.rack,
      capacity: owned.listed.capacity,
      free: owned.ledger.freeSize(this.roomForRequests()),
      neighbours: [...owned.attempts.values()].map(({ taskClass }) => taskClass),
      busySlots: owned.ledger.busySlots(),
    };
  }

  private countPerRack(
    taskClass: string,
    workers: readonly ShardWorker[],
  ): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    workers.forEach(({ owned }) => {
      const attempts = [...owned.attempts.values()];
      const sameClass = attempts.filter((attempt) => attempt.taskClass === taskClass).length;
      counts.set(owned.listed.rack, (counts.get(owned.listed.rack) ?? 0) + sameClass);
    });
    return counts;
  }

  private reserveAt(worker: ShardWorker, request: PlacementRequest, size: Size): PlacementOutcome {
    const { owned } = worker;
    if (!owned.ledger.tryAdd(request.attemptId, size, this.roomForRequests())) {
      return { kind: 'refused', reason: 'no-room-now' };
    }
    this.reservationCount += 1;
    const reservationId = `${this.grant.resource}#${this.grant.epoch}.${this.reservationCount}`;
    const nowMs = this.parts.clock.monotonicMs();
    const attempt: TrackedAttempt = {
      attemptId: request.attemptId,
      jobId: request.jobId,
      partition: request.partition,
      taskClass: request.taskClass,
      tenant: request.tenant,
      declaredSize: request.declaredSize,
      size,
      priority: request.priority,
      state: 'reserved',
      reservationId,
      firstSeenAtMs: nowMs,
      leaseExpiresAtMs: nowMs,
      lastStartArrivalAtMs: nowMs,
      answeredAtMs: nowMs,
      checkpointedAtMs: nowMs,
      throttledTo: 1,
    };
    owned.attempts.set(request.attemptId, attempt);
    return this.describeReservation(worker, attempt, reservationId);
  }

  private describeReservation(
    { owned }: ShardWorker,
    { size }: TrackedAttempt,
    reservationId: string,
  ): PlacementOutcome {
    const { resource: shard, epoch } = this.grant;
    return {
      kind: 'reserved',
      reservation: { reservationId, shard, epoch, workerId: owned.id, size },
    };
  }

  private findExisting(
    attemptId: string,
    workers: readonly ShardWorker[],
  ): PlacementOutcome | undefined {
    const worker = workers.find(({ owned }) => owned.attempts.has(attemptId));
    const attempt = worker?.owned.attempts.get(attemptId);
    if (!worker || !attempt) return undefined;
    if (attempt.state === 'reserved' && attempt.reservationId !== undefined) {
      return this.describeReservation(worker, attempt, attempt.reservationId);
    }
    return { kind: 'refused', reason: 'no-room-now' };
  }

  private dropExpiredReservations(workers: readonly ShardWorker[]): void {
    const oldestMs = this.parts.clock.monotonicMs() - RESERVATION_TIMEOUT_MS;
    workers.forEach(({ owned, stopCommands }) => {
      [...owned.attempts.values()]
        .filter(({ state, firstSeenAtMs }) => state === 'reserved' && firstSeenAtMs < oldestMs)
        .forEach(({ attemptId }) => stopCommands.blockAttempt(attemptId));
    });
  }

  private maximumAttemptSize({ owned }: ShardWorker): Size {
    return remainingSize(owned.listed.capacity, this.roomForRequests());
  }

  private roomForRequests(): Size {
    return requestRoom(this.parts.configuration.current(), this.dataCentre());
  }

  private taskClass(request: PlacementRequest): TaskClass | undefined {
    return this.parts.configuration.current()?.taskClasses.get(request.taskClass);
  }

  private dataCentre(): string {
    return dataCentreOf(this.grant.resource);
  }
}
