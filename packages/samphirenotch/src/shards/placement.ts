/**
 * Sets room aside for attempts on the workers of one shard.
 */
import type { TaskClass } from '../config/objects.js';
import type { PlacementCandidate } from '../decisions/placementPolicy.js';
import type { Grant } from '../membership/ownership.js';
import { dataCentreOf } from '../membership/rendezvous.js';
import type { Size } from '../infrastructure/worker.js';
import { requestRoom } from './requestRoom.js';
import type { ShardParts } from './shardParts.js';
import type { NoRoomReason, PlacementOutcome, PlacementWish } from './shardService.js';
import type { ShardWorker } from './shardWorker.js';
import { fitsIn, leftOf, smallerOf } from '../infrastructure/sizes.js';
import { StartGuard } from './startGuard.js';
import type { TrackedAttempt } from './trackedAttempt.js';

/** How long room stays reserved without a start, in milliseconds. */
export const RESERVATION_MS = 10_000;

/** Makes reservations. */
export class Placement {
  private reservations = 0;

  private readonly guard: StartGuard;

  /**
   * @param parts - what all shards share
   * @param grant - the right to own the shard
   */
  constructor(
    private readonly parts: ShardParts,
    private readonly grant: Grant,
  ) {
    this.guard = new StartGuard(parts.configuration);
  }

  /**
   * Reserves room. The same attempt gets the same room again.
   *
   * @param wish - what is to be placed
   * @param workers - workers of the shard
   * @returns the reservation, or why there is none
   */
  reserve(wish: PlacementWish, workers: readonly ShardWorker[]): PlacementOutcome {
    this.dropOverdue(workers);
    const earlier = this.findEarlier(wish.attemptId, workers);
    if (earlier) return earlier;
    const refusal = this.refuse(wish, workers);
    if (refusal) return { kind: 'refused', reason: refusal };
    const size = this.countedSize(wish, workers);
    const open = workers.filter(({ owned, stops }) => {
      const isVoided = stops.isVoided(wish.attemptId);
      return owned.isOpen() && !isVoided && !wish.excludedWorkers.includes(owned.id);
    });
    const chosen = this.choose(wish, size, open);
    if (!chosen) return { kind: 'refused', reason: 'no-room-now' };
    return this.reserveAt(chosen, wish, size);
  }

  private refuse(wish: PlacementWish, workers: readonly ShardWorker[]): NoRoomReason | undefined {
    const refusal = this.guard.refuseDataCentre(this.dataCentre());
    if (refusal === 'data-centre-out') return 'data-centre-out';
    if (refusal) return 'configuration-stale';
    const taskClass = this.taskClass(wish);
    const isAllowed = !taskClass || taskClass.dataCentres.includes(this.dataCentre());
    if (!isAllowed) return 'never-fits';
    if (workers.length === 0) return 'no-room-now';
    const fitsSomewhere = workers.some((worker) => fitsIn(wish.declaredSize, this.most(worker)));
    return fitsSomewhere ? undefined : 'never-fits';
  }

  /** An estimate above every worker is cut to the largest one that the declared size fits. */
  private countedSize(wish: PlacementWish, workers: readonly ShardWorker[]): Size {
    const estimate = this.parts.sizes.estimate(wish.taskClass, wish.declaredSize);
    const rooms = workers
      .map((worker) => this.most(worker))
      .filter((room) => fitsIn(wish.declaredSize, room));
    if (rooms.some((room) => fitsIn(estimate, room))) return estimate;
    const [first] = rooms.sort((left, right) => right.memoryMb - left.memoryMb);
    return first ? smallerOf(estimate, first) : estimate;
  }

  private choose(
    wish: PlacementWish,
    size: Size,
    open: readonly ShardWorker[],
  ): ShardWorker | undefined {
    const candidates = open
      .map((worker) => this.candidate(worker))
      .filter(({ free }) => fitsIn(size, free));
    if (candidates.length === 0) return undefined;
    const task = {
      taskClass: wish.taskClass,
      size,
      classTasksPerRack: this.countPerRack(wish.taskClass, open),
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
      const alike = attempts.filter((attempt) => attempt.taskClass === taskClass).length;
      counts.set(owned.listed.rack, (counts.get(owned.listed.rack) ?? 0) + alike);
    });
    return counts;
  }

  private reserveAt(worker: ShardWorker, wish: PlacementWish, size: Size): PlacementOutcome {
    const { owned } = worker;
    if (!owned.ledger.tryCount(wish.attemptId, size, this.roomForRequests())) {
      return { kind: 'refused', reason: 'no-room-now' };
    }
    this.reservations += 1;
    const reservationId = `${this.grant.resource}#${this.grant.epoch}.${this.reservations}`;
    const nowMs = this.parts.clock.monotonicMs();
    const attempt: TrackedAttempt = {
      attemptId: wish.attemptId,
      jobId: wish.jobId,
      partition: wish.partition,
      taskClass: wish.taskClass,
      tenant: wish.tenant,
      declared: wish.declaredSize,
      size,
      priority: wish.priority,
      state: 'reserved',
      reservationId,
      sinceMs: nowMs,
      lapsesAtMs: nowMs,
      settlesAtMs: nowMs,
      answeredAtMs: nowMs,
      checkpointedAtMs: nowMs,
      throttledTo: 1,
    };
    owned.attempts.set(wish.attemptId, attempt);
    return this.reserved(worker, attempt, reservationId);
  }

  private reserved(
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

  private findEarlier(
    attemptId: string,
    workers: readonly ShardWorker[],
  ): PlacementOutcome | undefined {
    const worker = workers.find(({ owned }) => owned.attempts.has(attemptId));
    const attempt = worker?.owned.attempts.get(attemptId);
    if (!worker || !attempt) return undefined;
    if (attempt.state === 'reserved' && attempt.reservationId !== undefined) {
      return this.reserved(worker, attempt, attempt.reservationId);
    }
    return { kind: 'refused', reason: 'no-room-now' };
  }

  private dropOverdue(workers: readonly ShardWorker[]): void {
    const oldestMs = this.parts.clock.monotonicMs() - RESERVATION_MS;
    workers.forEach(({ owned, stops }) => {
      [...owned.attempts.values()]
        .filter(({ state, sinceMs }) => state === 'reserved' && sinceMs < oldestMs)
        .forEach(({ attemptId }) => stops.voidAttempt(attemptId));
    });
  }

  private most({ owned }: ShardWorker): Size {
    return leftOf(owned.listed.capacity, this.roomForRequests());
  }

  private roomForRequests(): Size {
    return requestRoom(this.parts.configuration.current(), this.dataCentre());
  }

  private taskClass(wish: PlacementWish): TaskClass | undefined {
    return this.parts.configuration.current()?.taskClasses.get(wish.taskClass);
  }

  private dataCentre(): string {
    return dataCentreOf(this.grant.resource);
  }
}
