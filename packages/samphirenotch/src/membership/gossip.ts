/**
 * Composes heartbeats and takes in those of others.
 */
import type { ConfigurationStamp } from '../config/configurationStamp.js';
import type { HeartbeatMessage } from './heartbeatMessage.js';
import type { PeerTable } from './peerTable.js';

/** Other entries named in one heartbeat, at most. */
const MAXIMUM_OTHERS = 6;

/** Tells which configuration is in force here; nothing if none is. */
export type StampSource = () => ConfigurationStamp | undefined;

/**
 * Takes which configuration is in force at a peer, and when this entry asked for it, by the
 * monotonic clock in milliseconds; without that time nobody asked, and the stamp confirms nothing.
 */
export type StampSink = (
  peerId: string,
  stamp: ConfigurationStamp,
  requestedAtMs: number | undefined,
) => void;

/** News as they go into and come out of heartbeats. */
export class Gossip {
  private nextOtherIndex = 0;

  /**
   * @param table - the entries known
   * @param stampSource - tells which configuration is in force here
   * @param stampSink - takes which configuration is in force at peers
   */
  constructor(
    private readonly table: PeerTable,
    private readonly stampSource: StampSource,
    private readonly stampSink: StampSink,
  ) {}

  /**
   * Composes a heartbeat. Where there are more peers than it may name, they take turns.
   *
   * @returns the heartbeat
   */
  compose(): HeartbeatMessage {
    const news = this.table.peerNews();
    const count = Math.min(MAXIMUM_OTHERS, news.length);
    const others = Array.from({ length: count }, (_, index) => {
      const position = (this.nextOtherIndex + index) % news.length;
      return news[position];
    }).filter((each) => each !== undefined);
    this.nextOtherIndex += count;
    const configuration = this.stampSource();
    const message = { sender: this.table.ownNews(), others };
    return configuration ? { ...message, configuration } : message;
  }

  /**
   * Takes a heartbeat in that a peer sent by itself. How long it was under way is not known, so it
   * confirms no configuration.
   *
   * @param message - the heartbeat
   */
  receiveRequest(message: HeartbeatMessage): void {
    this.receive(message, undefined);
  }

  /**
   * Takes the answer to a heartbeat in. It was made after the heartbeat was sent.
   *
   * @param message - the answer
   * @param sentAtMs - monotonic time at which the heartbeat was sent
   */
  receiveAnswer(message: HeartbeatMessage, sentAtMs: number): void {
    this.receive(message, sentAtMs);
  }

  private receive(message: HeartbeatMessage, requestedAtMs: number | undefined): void {
    this.table.merge(message.sender);
    message.others.forEach((news) => this.table.merge(news));
    const { configuration, sender } = message;
    if (configuration) this.stampSink(sender.id, configuration, requestedAtMs);
  }
}
