/**
 * Interface for sending heartbeats to other entries.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { HeartbeatMessage } from './heartbeatMessage.js';

/** Sends heartbeats. */
export interface HeartbeatTransport {
  /** Sends a heartbeat to an address and resolves to the answer, or to the failure of the call. */
  exchange(
    address: string,
    message: HeartbeatMessage,
    call: Call,
  ): Promise<Result<HeartbeatMessage, Failure>>;
}
