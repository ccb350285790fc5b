/**
 * Composes heartbeats and processes received ones.
 */
import type { ConfigurationStamp } from '../config/configurationStamp.js';
import type { HeartbeatMessage } from './heartbeatMessage.js';
import type { PeerTable } from './peerTable.js';

/** Maximum number of other entries whose status one heartbeat carries. */
const MAXIMUM_OTHERS = 6;

/** Returns the stamp of the configuration in force at this entry, or undefined if there is none. */
export type StampSource = () => ConfigurationStamp | undefined;

/**
 * Receives the stamp of the configuration in force at a peer. `requestedAtMs` is the monotonic time
 * at which this entry sent the request that the stamp answers, in milliseconds. It is undefined if
 * the peer sent the stamp unasked; its delay is then unknown, so it confirms nothing.
 */
export type StampSink = (
  peerId: string,
  stamp: ConfigurationStamp,
  requestedAtMs: number | undefined,
) => void;

/** Spreads the status of entries and their configuration stamps by heartbeats. */
export class Gossip {
  private nextOtherIndex = 0;

  /**
   * @param table - the known entries
   * @param stampSource - returns the stamp of the configuration in force at this entry
   * @param stampSink - receives the stamps of the configurations in force at peers
   */
  constructor(
    private readonly table: PeerTable,
    private readonly stampSource: StampSource,
    private readonly stampSink: StampSink,
  ) {}

  /**
   * Composes a heartbeat. If there are more peers than one heartbeat may carry, successive
   * heartbeats carry them in turn.
   *
   * @returns the heartbeat
   */
  compose(): HeartbeatMessage {
    const peerStatuses = this.table.livePeerStatuses();
    const count = Math.min(MAXIMUM_OTHERS, peerStatuses.length);
    const others = Array.from({ length: count }, (_, index) => {
      const position = (this.nextOtherIndex + index) % peerStatuses.length;
      return peerStatuses[position];
    }).filter((each) => each !== undefined);
    this.nextOtherIndex += count;
    const configuration = this.stampSource();
    const message = { sender: this.table.ownStatus(), others };
    return configuration ? { ...message, configuration } : message;
  }

  /**
   * Processes a heartbeat sent by a peer. Its transit time is unknown, so it does not confirm a
   * configuration.
   *
   * @param message - the heartbeat
   */
  receiveRequest(message: HeartbeatMessage): void {
    this.receive(message, undefined);
  }

  /**
   * Processes the answer to a heartbeat of this entry. The answer was composed after the heartbeat
   * was sent, so that time bounds its age.
   *
   * @param message - the answer
   * @param sentAtMs - monotonic time at which the heartbeat was sent, in milliseconds
   */
  receiveAnswer(message: HeartbeatMessage, sentAtMs: number): void {
    this.receive(message, sentAtMs);
  }

  private receive(message: HeartbeatMessage, requestedAtMs: number | undefined): void {
    this.table.merge(message.sender);
    message.others.forEach((status) => this.table.merge(status));
    const { configuration, sender } = message;
    if (configuration) this.stampSink(sender.id, configuration, requestedAtMs);
  }
}
