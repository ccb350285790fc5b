/**
 * The other entry processes, as last heard from.
 */

/** How busy an entry is. */
export interface LoadSummary {
  readonly freeSlots: number;
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
  /** It is shutting down and takes no new work. */
  readonly leaving: boolean;
  readonly load: LoadSummary;
}

/** The entries known to this one. */
export interface Peers {
  readonly selfId: string;
  readonly selfDataCentre: string;
  /** Live peers, without this entry. */
  live(): readonly Peer[];
  find(peerId: string): Peer | undefined;
}
