/**
 * The platform's list of live and leaving VMs. The list lags behind the actual state.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Size } from './worker.js';

/** An entry of the platform's list of worker VMs. */
export interface WorkerListing {
  readonly id: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly capacity: Size;
  /** Number of requests that the worker serves at the same time. */
  readonly slots: number;
  readonly connections: number;
  /** Whether the VM is about to leave. */
  readonly leaving: boolean;
}

/** The list of worker VMs. */
export interface VmList {
  workers(call: Call): Promise<Result<readonly WorkerListing[], Failure>>;
  /** Closes the connections. */
  close(): Promise<void>;
}
