/**
 * The platform's lagging list of live and leaving VMs.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Size } from './worker.js';

/** A worker VM as the platform lists it. */
export interface WorkerListing {
  readonly id: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly capacity: Size;
  readonly slots: number;
  readonly connections: number;
  readonly leaving: boolean;
}

/** The list of worker VMs. */
export interface VmList {
  workers(call: Call): Promise<Result<readonly WorkerListing[], Failure>>;
  /** Frees connections. */
  close(): Promise<void>;
}
