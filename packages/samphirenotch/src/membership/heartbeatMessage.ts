/**
 * What entries tell one another in a heartbeat.
 */
import type { ConfigurationStamp } from '../config/configurationStamp.js';
import type { LoadSummary } from './peers.js';

/** News of one entry. */
export interface EntryNews {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly leaving: boolean;
  readonly load: LoadSummary;
  /** Time since the entry itself was heard, in milliseconds. */
  readonly ageMs: number;
}

/** A heartbeat or its answer. */
export interface HeartbeatMessage {
  readonly sender: EntryNews;
  /** Some of the other entries that the sender has heard of. */
  readonly others: readonly EntryNews[];
  /** Missing while the sender knows no configuration. */
  readonly configuration?: ConfigurationStamp;
}
