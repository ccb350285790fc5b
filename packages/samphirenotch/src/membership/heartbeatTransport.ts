/**
 * Carries heartbeats to another entry.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { HeartbeatMessage } from './heartbeatMessage.js';

/** Sends heartbeats. */
export interface HeartbeatTransport {
  /** Sends a heartbeat to an address and resolves to the answer. */
  exchange(
    address: string,
    message: HeartbeatMessage,
    call: Call,
  ): Promise<Result<HeartbeatMessage, Failure>>;
}
