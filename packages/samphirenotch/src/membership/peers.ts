/**
 * The other entry processes, with their last known status.
 */

/** The load of an entry. */
export interface LoadSummary {
  /** Number of free request slots on the entry's workers. */
  readonly freeSlots: number;
  /** Number of requests in the entry's queues. */
  readonly queuedRequests: number;
  /** Services that the entry has free slots for. */
  readonly services: readonly string[];
}

/** An entry process. */
export interface Peer {
  readonly id: string;
  readonly dataCentre: string;
  /** IP address and port of its gRPC server. */
  readonly address: string;
  /** True while the entry is shutting down and accepts no new work. */
  readonly leaving: boolean;
  readonly load: LoadSummary;
}

/** The other entries known to this one. */
export interface Peers {
  /** Id of this entry. */
  readonly selfId: string;
  /** Data centre of this entry. */
  readonly selfDataCentre: string;
  /** Returns the live peers, without this entry. */
  live(): readonly Peer[];
  /** Returns a peer by its id, also one that is no longer live. */
  find(peerId: string): Peer | undefined;
}
