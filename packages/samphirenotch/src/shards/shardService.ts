/**
 * What the owner of a shard of workers does for requests and for tasks.
 */
import type { Failure } from '../failure.js';
import type { AttemptOrder, AttemptReport, Size, Worker } from '../infrastructure/worker.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';

/** What a slot is wanted for. */
export interface SlotRequest {
  readonly service: string;
  readonly taskClass: string;
  /** Workers tried already. */
  readonly excludedWorkers: readonly string[];
}

/** A request slot held at a worker. Release it exactly once. */
export interface Slot {
  readonly worker: Worker;
  readonly workerId: string;
  readonly epoch: number;
  /** Asked right before sending: true while this entry may still send to the worker. */
  maySend(): boolean;
  /**
   * Gives the slot back.
   *
   * @param outcome - how the request went, for the choice among workers
   */
  release(outcome: SlotOutcome): void;
}

/** How a request on a slot went. */
export interface SlotOutcome {
  readonly kind: 'answered' | 'failed' | 'silent' | 'unused';
  readonly latencyMs: number;
}

/** Request slots of the workers whose shards this entry owns. */
export interface SlotSource {
  /** Takes a slot now, or nothing if none is free. */
  takeSlot(request: SlotRequest): Slot | undefined;
  /** Whether this entry has any worker that serves the service. */
  serves(service: string): boolean;
  /** Resolves when a slot may have become free, or the signal aborts. */
  waitForFreeSlot(signal: AbortSignal): Promise<void>;
  freeSlots(): number;
}

/** What is to be placed. */
export interface PlacementRequest {
  readonly attemptId: string;
  readonly jobId: string;
  readonly partition: string;
  readonly taskClass: string;
  readonly tenant: string;
  readonly declaredSize: Size;
  readonly excludedWorkers: readonly string[];
  /** Higher is more urgent. */
  readonly priority: number;
}

/** Room set aside at a worker until the attempt is started or the reservation lapses. */
export interface Reservation {
  readonly reservationId: string;
  readonly shard: string;
  readonly epoch: number;
  readonly workerId: string;
  /** Size that the ledger counts. */
  readonly size: Size;
}

/** Why nothing was placed. */
export type NoRoomReason = 'no-room-now' | 'never-fits' | 'data-centre-out' | 'configuration-stale';

/** Outcome of a placement wish. */
export type PlacementOutcome =
  | { readonly kind: 'reserved'; readonly reservation: Reservation }
  | { readonly kind: 'refused'; readonly reason: NoRoomReason };

/** Placement of attempts on the workers of shards, wherever the shard is owned. */
export interface ShardService {
  /** Shards known, own data centre first. */
  shards(): readonly string[];
  reserve(
    shard: string,
    request: PlacementRequest,
    call: Call,
  ): Promise<Result<PlacementOutcome, Failure>>;
  /** Frees a reservation that was not started. */
  cancelReservation(reservation: Reservation, call: Call): Promise<Result<void, Failure>>;
  /**
   * Starts an attempt in reserved room. `not-run` proves that it was not and never will be started.
   */
  start(
    reservation: Reservation,
    order: AttemptOrder,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>>;
  /** Checkpoints (if asked) and stops; resolves with proof that the attempt runs no more. */
  stop(
    shard: string,
    workerId: string,
    attemptId: string,
    withCheckpoint: boolean,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>>;
  /** Asks what is known of an attempt; `undefined` is proof that it runs nowhere in the shard. */
  find(
    shard: string,
    workerId: string,
    attemptId: string,
    call: Call,
  ): Promise<Result<AttemptReport | undefined, Failure>>;
}

/** Takes news of attempts at the entry that owns their jobs. */
export interface AttemptReportSink {
  /**
   * Reports attempts of one partition; repeated reports are harmless.
   *
   * @returns ids of ended attempts that are durably recorded and may be forgotten by the worker
   */
  report(
    partition: string,
    workerId: string,
    shard: string,
    reports: readonly AttemptReport[],
    call: Call,
  ): Promise<Result<readonly string[], Failure>>;
}
