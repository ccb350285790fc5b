/**
 * The worker interface that the owner of jobs uses. A worker runs tasks under leases that are
 * measured on its own clock, and checks fencing tokens. It does not necessarily check whether a
 * task fits into its free capacity.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';

import type { Size } from './worker.js';

/** How a run ended. */
export type RunEndKind =
  | 'done'
  /** The task or the worker failed. */
  | 'failed'
  | 'stopped'
  /** The lease expired. */
  | 'lapsed'
  /** Another member of the gang ended. */
  | 'gang-broken'
  /** The other members of the gang did not start. */
  | 'gang-alone';

/** Identifies one run of a task. */
export interface RunName {
  readonly taskId: string;
  /** Number of the run, which increases with each start of the task. */
  readonly run: number;
}

/** A command to start a task. */
export interface RunOrder extends RunName {
  readonly spec: string;
  /** Expiry of the lease of everything on the worker, in milliseconds of the worker's clock. */
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
  /** Checkpoint to resume from, empty if there is none. */
  readonly checkpoint: string;
  /** Ticket of the policy service that permits the run, if the queue needs one. */
  readonly ticket?: string;
}

/** Outcome of an order that the worker answered. With all but `done`, the order had no effect. */
export type OrderOutcome =
  | 'done'
  /** The worker has seen a higher fencing token. */
  | 'stale-token'
  /** A run of the task with this number or a higher one was stopped or ended on the worker. */
  | 'superseded'
  /** The lease in the order had expired when the order arrived. */
  | 'late'
  | 'no-room'
  | 'no-ticket'
  | 'unhealthy'
  /** Another incarnation answers at the worker's address. */
  | 'other-life'
  | 'invalid';

/** The worker's report on a run in progress. */
export interface RunReport extends RunName {
  /** Last checkpoint, empty if there is none. */
  readonly checkpoint: string;
  /** Progress from 0 to 100; a long-running task reports 100 once it serves. */
  readonly percent: number;
  /** Tail latency in milliseconds if the task has a latency target, otherwise millicores in use. */
  readonly gauge: number;
}

/** The end of a run. */
export interface RunEnd extends RunName {
  /** Increases by one with each run that ends in an incarnation of the worker. */
  readonly sequence: number;
  readonly kind: RunEndKind;
  /** Last checkpoint, empty if there is none. */
  readonly checkpoint: string;
}

/** The runs in progress on a worker, and the ended runs that were not acknowledged yet. */
export interface Holding {
  /** The worker's clock, in milliseconds. */
  readonly clockMs: number;
  /**
   * When this incarnation of the worker started, in Unix milliseconds. Distinguishes incarnations
   * with the same id.
   */
  readonly bornMs: number;
  readonly running: readonly RunReport[];
  readonly ends: readonly RunEnd[];
  /**
   * True if the worker may have more ends than these: it lists further ones once these are
   * acknowledged. A run that is in neither list may then have ended.
   */
  readonly hasMoreEnds: boolean;
}

/** A long poll of a worker that can also renew its lease. */
export interface HoldOrder {
  readonly fencingToken: number;
  /**
   * New expiry of the lease of everything on the worker, in milliseconds of the worker's clock. The
   * lease is not extended if it is undefined.
   */
  readonly leaseUntilMs?: number;
  /** The worker drops the ended runs up to this sequence number. */
  readonly acknowledged: number;
  /** Longest time that the worker waits for a run to end before it answers, in milliseconds. */
  readonly waitMs: number;
}

/** The answer to a hold. */
export type HoldOutcome =
  | { readonly kind: 'held'; readonly holding: Holding }
  | { readonly kind: 'stale-token' }
  | { readonly kind: 'other-life' };

/** The answer to an order. */
export interface OrderAnswer {
  readonly outcome: OrderOutcome;
  /** The worker's clock, in milliseconds; most answers have it. */
  readonly clockMs?: number;
}

/** Whether a worker takes new work. */
export type WorkerPhase = 'ready' | 'draining';

/** A worker's description of itself. */
export interface WorkerDescription {
  /** Identifies one incarnation of a worker, unless the worker restarts under the same id. */
  readonly id: string;
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly capacity: Size;
  /** Labels such as the kind of the worker and its rack. */
  readonly labels: readonly string[];
  readonly phase: WorkerPhase;
  /** How long the worker stays slow after its start, in milliseconds. */
  readonly coldMs: number;
  /** Minimum time until the worker leaves, in milliseconds; set only while it drains. */
  readonly remainingMs?: number;
  /** When this incarnation started, in Unix milliseconds; 0 if unknown. */
  readonly bornMs: number;
}

/** Sends commands to one incarnation of a worker. */
export interface TaskWorker {
  start(order: RunOrder, call: Call): Promise<Result<OrderAnswer, Failure>>;
  stop(run: RunName, fencingToken: number, call: Call): Promise<Result<OrderAnswer, Failure>>;
  /** Limits a run to a percentage of its processors. */
  pace(
    run: RunName,
    percent: number,
    fencingToken: number,
    call: Call,
  ): Promise<Result<OrderAnswer, Failure>>;
  /** Fetches the runs of the worker by long poll, and renews the lease if the order says so. */
  hold(order: HoldOrder, call: Call): Promise<Result<HoldOutcome, Failure>>;
  /** Closes the connections. */
  close(): void;
}

/** Creates the command interface of a worker. */
export interface TaskWorkerDirectory {
  connect(id: string, address: string): TaskWorker;
}
