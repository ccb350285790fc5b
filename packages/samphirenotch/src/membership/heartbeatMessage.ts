/**
 * The content of heartbeats between entries.
 */
import type { ConfigurationStamp } from '../config/configurationStamp.js';
import type { LoadSummary } from './peers.js';

/** The status of one entry, as it is spread by heartbeats. */
export interface MemberStatus {
  /** Id of the entry process. */
  readonly id: string;
  readonly dataCentre: string;
  /** IP address and port of the entry's gRPC server. */
  readonly address: string;
  /** True while the entry is shutting down. */
  readonly leaving: boolean;
  readonly load: LoadSummary;
  /** Time since the entry itself reported this status, in milliseconds. */
  readonly ageMs: number;
}

/** A heartbeat or its answer. */
export interface HeartbeatMessage {
  readonly sender: MemberStatus;
  /** Some of the other live entries that the sender knows. */
  readonly others: readonly MemberStatus[];
  /** The configuration in force at the sender; missing while it has none. */
  readonly configuration?: ConfigurationStamp;
}
