/**
 * A worker as the scheduler needs it: it runs attempts of tasks under leases and answers requests.
 */
import type { Readable } from 'node:stream';
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';

/** An amount of what a VM has. */
export interface Size {
  /** Thousandths of a processor core. */
  readonly milliCores: number;
  /** Mebibytes. */
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** What a kind of worker guarantees beyond the least. Without a guarantee the owner is strict. */
export interface WorkerGuarantees {
  /** Commands with an epoch below the highest one seen are refused, also after a restart. */
  readonly refusesOlderEpochs: boolean;
  /** A start repeated with the same attempt id starts nothing new. */
  readonly idempotentStarts: boolean;
  /** Ended attempts stay in the inventory until they are acknowledged. */
  readonly keepsEndedAttempts: boolean;
  /** `recall` tells what became of a request id. */
  readonly supportsRecall: boolean;
}

/** An order to run an attempt of a job. */
export interface AttemptOrder {
  readonly attemptId: string;
  readonly jobId: string;
  /** Partition that owns the job. */
  readonly partition: string;
  readonly taskClass: string;
  readonly tenant: string;
  /** Size that the ledger counts for it. */
  readonly size: Size;
  /** Checkpoint to go on from. */
  readonly checkpoint?: string;
  /** What to run, opaque to the scheduler. */
  readonly payload: string;
  /** The attempt ends by itself unless renewed within this time, in milliseconds. */
  readonly leaseMs: number;
}

/** Where an attempt stands at its worker. `stopped` and `lapsed` attempts run no more. */
export type AttemptPhase = 'running' | 'completed' | 'failed' | 'stopped' | 'lapsed';

/** An attempt as its worker reports it. */
export interface AttemptReport {
  readonly attemptId: string;
  readonly jobId: string;
  readonly partition: string;
  readonly taskClass: string;
  readonly tenant: string;
  readonly size: Size;
  readonly phase: AttemptPhase;
  /** Last checkpoint, if any. */
  readonly checkpoint?: string;
  /** Result of a completed attempt, reason of a failed one. */
  readonly detail?: string;
  /** What it really used lately, if measured. */
  readonly used?: Size;
}

/** Everything a worker holds. */
export interface Inventory {
  readonly epoch: number;
  readonly attempts: readonly AttemptReport[];
  /** Requests in progress. */
  readonly busySlots: number;
  readonly leaving: boolean;
}

/** A lease renewal of one attempt. */
export interface Renewal {
  readonly attemptId: string;
  readonly leaseMs: number;
}

/** A request to a service. */
export interface WorkerRequest {
  readonly requestId: string;
  readonly service: string;
  readonly taskClass: string;
  readonly tenant: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Readable;
}

/** The answer to a request. */
export interface WorkerAnswer {
  /** Echo of the request id: an answer with another id is not ours. */
  readonly requestId: string;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Readable;
}

/** What a worker remembers of a request id. */
export type RequestStatus = 'never-seen' | 'running' | 'finished';

/** Commands to one worker; each carries the owner's epoch. A refusal has `effect: 'not-run'`. */
export interface Worker {
  readonly id: string;
  readonly guarantees: WorkerGuarantees;
  /** Takes the worker over for an epoch; older epochs are refused from then on. */
  claim(epoch: number, call: Call): Promise<Result<Inventory, Failure>>;
  /** Renews leases, acknowledges ended attempts, returns the inventory. */
  heartbeat(
    epoch: number,
    renewals: readonly Renewal[],
    acknowledged: readonly string[],
    call: Call,
  ): Promise<Result<Inventory, Failure>>;
  start(epoch: number, order: AttemptOrder, call: Call): Promise<Result<AttemptReport, Failure>>;
  /** Takes a checkpoint and resolves to its reference; the attempt runs on. */
  checkpoint(epoch: number, attemptId: string, call: Call): Promise<Result<string, Failure>>;
  /** Limits an attempt to a share of its processors, from 0 to 1. */
  throttle(
    epoch: number,
    attemptId: string,
    share: number,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>>;
  /** Stops an attempt; resolves once it runs no more, also if it had ended before or never ran. */
  stop(epoch: number, attemptId: string, call: Call): Promise<Result<AttemptReport, Failure>>;
  /** Runs a request; at most one answer. A failure with `not-run` proves that it did not run. */
  execute(
    epoch: number,
    request: WorkerRequest,
    call: Call,
  ): Promise<Result<WorkerAnswer, Failure>>;
  recall(requestId: string, call: Call): Promise<Result<RequestStatus, Failure>>;
  /** Frees connections. */
  close(): Promise<void>;
}

/** Makes the command interface of a listed worker. */
export interface WorkerDirectory {
  connect(workerId: string, address: string): Worker;
}

/** Detail of the report on a stopped attempt which proves that the worker never ran it. */
export const NEVER_STARTED = 'never-started';
