/**
 * A worker as the owner of jobs needs it: it runs tasks under leases on its own clock and checks
 * fencing tokens, but not necessarily its room.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';

import type { Size } from './worker.js';

/** How a run ended. */
export type RunEndKind =
  | 'done'
  /** By the task's or the worker's fault. */
  | 'failed'
  | 'stopped'
  | 'lapsed'
  /** Another member of the gang ended. */
  | 'gang-broken'
  /** The other members of the gang did not come. */
  | 'gang-alone';

/** One start of a task. */
export interface RunName {
  readonly taskId: string;
  /** Number of the start; rises with each start of the task. */
  readonly run: number;
}

/** An order to start a task. */
export interface RunOrder extends RunName {
  readonly spec: string;
  /** Until when everything on the worker may run, in milliseconds of the worker's clock. */
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
  readonly checkpoint: string;
  /** Permission of the policy service, if the queue needs one. */
  readonly ticket?: string;
}

/** What became of an order that the worker answered. All but `done` had no effect. */
export type OrderOutcome =
  | 'done'
  | 'stale-token'
  /** A run with this number or a higher one was stopped or ended there. */
  | 'superseded'
  /** The lease of the order had passed. */
  | 'late'
  | 'no-room'
  | 'no-ticket'
  | 'unhealthy'
  /** The worker at this address is another life. */
  | 'other-life'
  | 'invalid';

/** A run in progress as its worker reports it. */
export interface RunReport extends RunName {
  /** Last checkpoint, empty if there is none. */
  readonly checkpoint: string;
  /** Progress from 0 to 100; of a long-running task, 100 once it serves. */
  readonly percent: number;
  /** Tail latency in milliseconds of a task with a target, otherwise millicores in use. */
  readonly gauge: number;
}

/** The end of a run. */
export interface RunEnd extends RunName {
  /** Rises by one with each end in a life of the worker. */
  readonly sequence: number;
  readonly kind: RunEndKind;
  readonly checkpoint: string;
}

/** Everything that a worker runs, and the ends that it was not told to forget. */
export interface Holding {
  /** The worker's clock, in milliseconds. */
  readonly clockMs: number;
  /** When this life of the worker began, in Unix milliseconds; tells lives with one id apart. */
  readonly bornMs: number;
  readonly running: readonly RunReport[];
  readonly ends: readonly RunEnd[];
}

/** What is asked when a worker is held. */
export interface HoldOrder {
  readonly fencingToken: number;
  /** Extends the lease of everything on the worker; left out, nothing is extended. */
  readonly leaseUntilMs?: number;
  /** Ends up to this number are forgotten. */
  readonly acknowledged: number;
  /** How long the answer may wait for an end, in milliseconds. */
  readonly waitMs: number;
}

/** What a hold told. */
export type HoldOutcome =
  | { readonly kind: 'held'; readonly holding: Holding }
  | { readonly kind: 'stale-token' }
  | { readonly kind: 'other-life' };

/** An answer to an order; a clock reading comes with most. */
export interface OrderAnswer {
  readonly outcome: OrderOutcome;
  readonly clockMs?: number;
}

/** Whether a worker takes new work. */
export type WorkerPhase = 'ready' | 'draining';

/** A worker as it describes itself. */
export interface WorkerDescription {
  /** Names one life of a worker, but for restarts under the same id. */
  readonly id: string;
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly capacity: Size;
  /** Kind and rack. */
  readonly labels: readonly string[];
  readonly phase: WorkerPhase;
  /** How long it stays slow after its start, in milliseconds. */
  readonly coldMs: number;
  /** Least time until it leaves, in milliseconds; only while it drains. */
  readonly remainingMs?: number;
  readonly bornMs: number;
}

/** Commands to one life of a worker. */
export interface TaskWorker {
  start(order: RunOrder, call: Call): Promise<Result<OrderAnswer, Failure>>;
  stop(run: RunName, fencingToken: number, call: Call): Promise<Result<OrderAnswer, Failure>>;
  /** Lets a run work at a share of its processors, in percent. */
  pace(
    run: RunName,
    percent: number,
    fencingToken: number,
    call: Call,
  ): Promise<Result<OrderAnswer, Failure>>;
  hold(order: HoldOrder, call: Call): Promise<Result<HoldOutcome, Failure>>;
  /** Frees connections. */
  close(): void;
}

/** Makes the command interface of a worker. */
export interface TaskWorkerDirectory {
  connect(id: string, address: string): TaskWorker;
}
