/**
 * Interfaces through which requests and tasks use the workers of a shard.
 */
import type { Failure } from '../failure.js';
import type { AttemptOrder, AttemptReport, Size, Worker } from '../infrastructure/worker.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';

/** Describes the request that needs a slot. */
export interface SlotRequest {
  readonly service: string;
  readonly taskClass: string;
  /** Ids of workers that must not be chosen, because they were tried already. */
  readonly excludedWorkers: readonly string[];
}

/** A request slot held at a worker. It must be released exactly once. */
export interface Slot {
  readonly worker: Worker;
  readonly workerId: string;
  /** Epoch of the shard's owner (fencing token). */
  readonly epoch: number;
  /** Checked right before sending: true while this entry may still send to the worker. */
  maySend(): boolean;
  /**
   * Releases the slot.
   *
   * @param outcome - outcome of the request, used for later choices of workers
   */
  release(outcome: SlotOutcome): void;
}

/** Outcome of the request that used a slot. */
export interface SlotOutcome {
  /**
   * `silent`: no answer came in time, so the request may still run; `unused`: nothing was sent, or
   * the caller left before the answer, so the outcome does not count for or against the worker.
   */
  readonly kind: 'answered' | 'failed' | 'silent' | 'unused';
  /** Time to the head of the answer, or the time that the slot was held, in milliseconds. */
  readonly latencyMs: number;
}

/** Request slots of the workers whose shards this entry owns. */
export interface SlotSource {
  /** Takes a slot; `undefined` if none is free. */
  takeSlot(request: SlotRequest): Slot | undefined;
  /** Tells whether this entry owns a worker that serves the service and accepts requests. */
  serves(service: string): boolean;
  /** Resolves when a slot may have become free, or the signal aborts. */
  waitForFreeSlot(signal: AbortSignal): Promise<void>;
  /** Number of free slots at all workers of this entry. */
  freeSlots(): number;
}

/** Describes the attempt that needs room at a worker. */
export interface PlacementRequest {
  readonly attemptId: string;
  readonly jobId: string;
  readonly partition: string;
  readonly taskClass: string;
  readonly tenant: string;
  readonly declaredSize: Size;
  /** Ids of workers that must not be chosen. */
  readonly excludedWorkers: readonly string[];
  /** A higher number is more urgent. */
  readonly priority: number;
}

/** Room reserved at a worker until the attempt is started or the reservation expires. */
export interface Reservation {
  readonly reservationId: string;
  readonly shard: string;
  /** Epoch of the owner that made the reservation. */
  readonly epoch: number;
  readonly workerId: string;
  /** Reserved size. */
  readonly size: Size;
}

/** Reason why no room was reserved. */
export type NoRoomReason = 'no-room-now' | 'never-fits' | 'data-centre-out' | 'configuration-stale';

/** Outcome of a placement request. */
export type PlacementOutcome =
  | { readonly kind: 'reserved'; readonly reservation: Reservation }
  | { readonly kind: 'refused'; readonly reason: NoRoomReason };

/** Places, starts and stops attempts on the workers of shards, whichever entry owns the shard. */
export interface ShardService {
  /** Resource names of all known shards, those of the own data centre first. */
  shards(): readonly string[];
  reserve(
    shard: string,
    request: PlacementRequest,
    call: Call,
  ): Promise<Result<PlacementOutcome, Failure>>;
  /** Releases a reservation whose attempt was not started. */
  cancelReservation(reservation: Reservation, call: Call): Promise<Result<void, Failure>>;
  /**
   * Starts the attempt of a reservation. A failure with the effect `not-run` proves that the
   * attempt was not started and never will be.
   */
  start(
    reservation: Reservation,
    order: AttemptOrder,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>>;
  /**
   * Takes a checkpoint, if asked to, and stops the attempt. A report proves that it no longer runs.
   */
  stop(
    shard: string,
    workerId: string,
    attemptId: string,
    withCheckpoint: boolean,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>>;
  /**
   * Asks the worker about an attempt; `undefined` proves that the attempt does not run there and
   * never will.
   */
  find(
    shard: string,
    workerId: string,
    attemptId: string,
    call: Call,
  ): Promise<Result<AttemptReport | undefined, Failure>>;
}

/** Receives reports about attempts, on behalf of the owner of their jobs. */
export interface AttemptReportSink {
  /**
   * Reports attempts of one partition. Repeated reports have no further effect.
   *
   * @returns ids of ended attempts that are durably recorded, so that the worker may forget them
   */
  report(
    partition: string,
    workerId: string,
    shard: string,
    reports: readonly AttemptReport[],
    call: Call,
  ): Promise<Result<readonly string[], Failure>>;
}
