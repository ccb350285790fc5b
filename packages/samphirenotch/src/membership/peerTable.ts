/**
 * Entries as last heard of: by heartbeat, through another entry, or from the store.
 */
import type { Clock } from '../time/clock.js';
import type { EntryNews } from './heartbeatMessage.js';
import type { LoadSummary, Peer, Peers } from './peers.js';
import type { EntryRecord } from './storeKeys.js';

/** An entry counts as live for this long after it was heard, in milliseconds. */
export const PEER_TIMEOUT_MS = 3500;

/** An entry is forgotten after this silence, in milliseconds. */
const FORGET_AFTER_MS = 120_000;

const NO_LOAD: LoadSummary = { freeSlots: 0, queuedRequests: 0, services: [] };

/** This entry. */
export interface SelfEntry {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
}

interface SeenPeer {
  readonly peer: Peer;
  readonly lastSeenMs: number;
}

/** The entries known to this one. */
export class PeerTable implements Peers {
  private readonly peersById = new Map<string, SeenPeer>();

  private isLeaving = false;

  /**
   * @param clock - for the age of news
   * @param self - this entry
   * @param load - tells how busy this entry is
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
   * All peers not yet forgotten, also silent ones.
   *
   * @returns peers in order of their ids
   */
  known(): readonly Peer[] {
    return [...this.seenWithin(FORGET_AFTER_MS)].sort((left, right) =>
      left.id < right.id ? -1 : 1,
    );
  }

  /** Says from now on that this entry is shutting down. */
  leave(): void {
    this.isLeaving = true;
  }

  /**
   * News of this entry for its peers.
   *
   * @returns the news, of age zero
   */
  ownNews(): EntryNews {
    return { ...this.self, leaving: this.isLeaving, load: this.load(), ageMs: 0 };
  }

  /**
   * News of live peers for another one.
   *
   * @returns the news, youngest first
   */
  peerNews(): readonly EntryNews[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.peersById.values()]
      .map(({ peer, lastSeenMs }) => ({ ...peer, ageMs: nowMs - lastSeenMs }))
      .filter(({ ageMs }) => ageMs < PEER_TIMEOUT_MS)
      .sort((left, right) => left.ageMs - right.ageMs);
  }

  /**
   * Takes news in; older news than known is dropped.
   *
   * @param news - news of an entry
   */
  merge(news: EntryNews): void {
    if (news.id === this.self.id) return;
    const { ageMs, ...peer } = news;
    const lastSeenMs = this.clock.monotonicMs() - ageMs;
    const before = this.peersById.get(news.id);
    if (before && before.lastSeenMs >= lastSeenMs) return;
    this.peersById.set(news.id, { peer, lastSeenMs });
  }

  /**
   * Takes in the entries that the store lists. One not heard of before counts as heard now.
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
