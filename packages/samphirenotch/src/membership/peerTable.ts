/**
 * The last known status of other entries, learned from their heartbeats, through other entries, or
 * from the store.
 */
import type { Clock } from '../time/clock.js';
import type { MemberStatus } from './heartbeatMessage.js';
import type { LoadSummary, Peer, Peers } from './peers.js';
import type { EntryRecord } from './storeKeys.js';

/** An entry counts as live for this long after its last update, in milliseconds. */
export const PEER_TIMEOUT_MS = 3500;

/** A peer is no longer listed as known after this time without an update, in milliseconds. */
const FORGET_AFTER_MS = 120_000;

const NO_LOAD: LoadSummary = { freeSlots: 0, queuedRequests: 0, services: [] };

/** Identity of this entry. */
export interface SelfEntry {
  readonly id: string;
  readonly dataCentre: string;
  /** IP address and port of its gRPC server. */
  readonly address: string;
}

/** A peer and when its status was reported. */
interface SeenPeer {
  readonly peer: Peer;
  /** Monotonic time at which the peer itself reported this status, in milliseconds. */
  readonly lastSeenMs: number;
}

/** The known peers, with the newest status of each. */
export class PeerTable implements Peers {
  private readonly peersById = new Map<string, SeenPeer>();

  private isLeaving = false;

  /**
   * @param clock - for the age of updates
   * @param self - identity of this entry
   * @param load - returns the current load of this entry
   */
  constructor(
    private readonly clock: Clock,
    private readonly self: SelfEntry,
    private readonly load: () => LoadSummary,
  ) {}

  get selfId(): string {
    return this.self.id;
  }

  get selfDataCentre(): string {
    return this.self.dataCentre;
  }

  live(): readonly Peer[] {
    return this.seenWithin(PEER_TIMEOUT_MS);
  }

  find(peerId: string): Peer | undefined {
    return this.peersById.get(peerId)?.peer;
  }

  /**
   * Returns all recently known peers, including those that are no longer live.
   *
   * @returns peers sorted by id
   */
  known(): readonly Peer[] {
    return [...this.seenWithin(FORGET_AFTER_MS)].sort((left, right) =>
      left.id < right.id ? -1 : 1,
    );
  }

  /** Marks this entry as shutting down in all further heartbeats. */
  leave(): void {
    this.isLeaving = true;
  }

  /**
   * Returns the status of this entry for its peers.
   *
   * @returns the status, with an age of zero
   */
  ownStatus(): MemberStatus {
    return { ...this.self, leaving: this.isLeaving, load: this.load(), ageMs: 0 };
  }

  /**
   * Returns the status of all live peers, to be passed on to another entry.
   *
   * @returns the statuses, most recent first
   */
  livePeerStatuses(): readonly MemberStatus[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.peersById.values()]
      .map(({ peer, lastSeenMs }) => ({ ...peer, ageMs: nowMs - lastSeenMs }))
      .filter(({ ageMs }) => ageMs < PEER_TIMEOUT_MS)
      .sort((left, right) => left.ageMs - right.ageMs);
  }

  /**
   * Stores the status of another entry, unless one at least as recent is known.
   *
   * @param status - status of an entry; that of this entry is ignored
   */
  merge(status: MemberStatus): void {
    if (status.id === this.self.id) return;
    const { ageMs, ...peer } = status;
    const lastSeenMs = this.clock.monotonicMs() - ageMs;
    const before = this.peersById.get(status.id);
    if (before && before.lastSeenMs >= lastSeenMs) return;
    this.peersById.set(status.id, { peer, lastSeenMs });
  }

  /**
   * Stores the entries that are registered in the store. A new entry, or one whose record has
   * changed, counts as seen now.
   *
   * @param records - entries registered in the store
   */
  mergeFromStore(records: readonly EntryRecord[]): void {
    records.forEach((record) => {
      const before = this.peersById.get(record.id);
      if (before?.peer.address === record.address && before.peer.leaving === record.leaving) return;
      this.merge({ ...record, load: before?.peer.load ?? NO_LOAD, ageMs: 0 });
    });
  }

  private seenWithin(ageMs: number): readonly Peer[] {
    const oldestMs = this.clock.monotonicMs() - ageMs;
    return [...this.peersById.values()]
      .filter(({ lastSeenMs }) => lastSeenMs > oldestMs)
      .map(({ peer }) => peer);
  }
}
