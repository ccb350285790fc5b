/**
 * The worker interface that the scheduler uses. A worker runs attempts of tasks under leases and
 * serves requests.
 */
import type { Readable } from 'node:stream';
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';

/** An amount of the resources of a VM. */
export interface Size {
  /** Thousandths of a processor core. */
  readonly milliCores: number;
  /** Mebibytes. */
  readonly memoryMb: number;
  readonly accelerators: number;
}

/**
 * Optional guarantees of a kind of worker. Where one is missing, the owner makes the conservative
 * assumption.
 */
export interface WorkerGuarantees {
  /** Commands with an epoch below the highest epoch seen are refused, even after a restart. */
  readonly refusesOlderEpochs: boolean;
  /** A repeated start command with the same attempt id does not start the attempt again. */
  readonly idempotentStarts: boolean;
  /** Ended attempts stay in the inventory until they are acknowledged. */
  readonly keepsEndedAttempts: boolean;
  /** `recall` returns the status of a request. */
  readonly supportsRecall: boolean;
}

/** A command to run an attempt of a job. */
export interface AttemptOrder {
  readonly attemptId: string;
  readonly jobId: string;
  /** Partition that owns the job. */
  readonly partition: string;
  readonly taskClass: string;
  readonly tenant: string;
  /** Size that the capacity ledger reserves for the attempt. */
  readonly size: Size;
  /** Checkpoint to resume from. */
  readonly checkpoint?: string;
  /** Description of the work, opaque to the scheduler. */
  readonly payload: string;
  /** The attempt ends by itself unless its lease is renewed within this time, in milliseconds. */
  readonly leaseMs: number;
}

/**
 * Phase of an attempt on its worker. A `stopped` attempt was ended by a command, a `lapsed` one by
 * the expiry of its lease; neither runs any more.
 */
export type AttemptPhase = 'running' | 'completed' | 'failed' | 'stopped' | 'lapsed';

/** The worker's report on an attempt. */
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
  /** Result of a completed attempt, reason of a failed or stopped one. */
  readonly detail?: string;
  /** Recently measured usage, if known. */
  readonly used?: Size;
}

/** Everything that runs on a worker, and the ended attempts that it still reports. */
export interface Inventory {
  readonly epoch: number;
  readonly attempts: readonly AttemptReport[];
  /** Number of requests in progress. */
  readonly busySlots: number;
  readonly leaving: boolean;
}

/** A lease renewal of one attempt. */
export interface Renewal {
  readonly attemptId: string;
  /** Duration of the renewed lease, in milliseconds. */
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
  /** Request id as echoed by the worker; an answer with another id belongs to another request. */
  readonly requestId: string;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Readable;
}

/** Status of a request as the worker remembers it. */
export type RequestStatus = 'never-seen' | 'running' | 'finished';

/**
 * Sends commands and requests to one worker. Commands carry the owner's epoch as fencing token. A
 * refused command fails with `effect: 'not-run'`.
 */
export interface Worker {
  readonly id: string;
  readonly guarantees: WorkerGuarantees;
  /** Takes the worker over for an epoch. The worker then refuses older epochs. */
  claim(epoch: number, call: Call): Promise<Result<Inventory, Failure>>;
  /** Renews leases, acknowledges ended attempts, returns the inventory. */
  heartbeat(
    epoch: number,
    renewals: readonly Renewal[],
    acknowledged: readonly string[],
    call: Call,
  ): Promise<Result<Inventory, Failure>>;
  start(epoch: number, order: AttemptOrder, call: Call): Promise<Result<AttemptReport, Failure>>;
  /** Takes a checkpoint and resolves to its reference. The attempt continues to run. */
  checkpoint(epoch: number, attemptId: string, call: Call): Promise<Result<string, Failure>>;
  /** Limits an attempt to a fraction of its processors, from 0 to 1. */
  throttle(
    epoch: number,
    attemptId: string,
    share: number,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>>;
  /** Stops an attempt. Resolves once it no longer runs, even if it had ended or never started. */
  stop(epoch: number, attemptId: string, call: Call): Promise<Result<AttemptReport, Failure>>;
  /** Sends a request, with at most one answer. A `not-run` failure proves that it did not run. */
  execute(
    epoch: number,
    request: WorkerRequest,
    call: Call,
  ): Promise<Result<WorkerAnswer, Failure>>;
  /** Looks up the status of a request that was sent earlier. */
  recall(requestId: string, call: Call): Promise<Result<RequestStatus, Failure>>;
  /** Closes the connections. */
  close(): Promise<void>;
}

/** Creates the command interface of a listed worker. */
export interface WorkerDirectory {
  connect(workerId: string, address: string): Worker;
}

/** Detail in the report on a stopped attempt, which proves that the worker never ran it. */
export const NEVER_STARTED = 'never-started';
