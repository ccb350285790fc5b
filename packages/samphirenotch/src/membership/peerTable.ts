/**
 * Entries as last heard of: by heartbeat, through another entry, or from the store.
 */
import type { Clock } from '../time/clock.js';
import type { EntryNews } from './heartbeatMessage.js';
import type { LoadSummary, Peer, Peers } from './peers.js';
import type { EntryRecord } from './storeKeys.js';

/** An entry counts as live for this long after it was heard, in milliseconds. */
export const PEER_SILENCE_MS = 3500;

/** An entry is forgotten after this silence, in milliseconds. */
const FORGET_MS = 120_000;

const NO_LOAD: LoadSummary = { freeSlots: 0, queuedRequests: 0, services: [] };

/** This entry. */
export interface SelfEntry {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
}

interface HeardPeer {
  readonly peer: Peer;
  readonly heardAtMs: number;
}

/** The entries known to this one. */
export class PeerTable implements Peers {
  private readonly heard = new Map<string, HeardPeer>();

  private leaving = false;

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
    return this.youngerThan(PEER_SILENCE_MS);
  }

  find(peerId: string): Peer | undefined {
    return this.heard.get(peerId)?.peer;
  }

  /**
   * All peers not yet forgotten, also silent ones.
   *
   * @returns peers in order of their ids
   */
  known(): readonly Peer[] {
    return [...this.youngerThan(FORGET_MS)].sort((left, right) => (left.id < right.id ? -1 : 1));
  }

  /** Says from now on that this entry is shutting down. */
  leave(): void {
    this.leaving = true;
  }

  /**
   * News of this entry for its peers.
   *
   * @returns the news, of age zero
   */
  ownNews(): EntryNews {
    return { ...this.self, leaving: this.leaving, load: this.load(), ageMs: 0 };
  }

  /**
   * News of live peers for another one.
   *
   * @returns the news, youngest first
   */
  peerNews(): readonly EntryNews[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.heard.values()]
      .map(({ peer, heardAtMs }) => ({ ...peer, ageMs: nowMs - heardAtMs }))
      .filter(({ ageMs }) => ageMs < PEER_SILENCE_MS)
      .sort((left, right) => left.ageMs - right.ageMs);
  }

  /**
   * Takes news in; older news than known is dropped.
   *
   * @param news - news of an entry
   */
  hear(news: EntryNews): void {
    if (news.id === this.self.id) return;
    const { ageMs, ...peer } = news;
    const heardAtMs = this.clock.monotonicMs() - ageMs;
    const before = this.heard.get(news.id);
    if (before && before.heardAtMs >= heardAtMs) return;
    this.heard.set(news.id, { peer, heardAtMs });
  }

  /**
   * Takes in the entries that the store lists. One not heard of before counts as heard now.
   *
   * @param records - entries registered in the store
   */
  hearFromStore(records: readonly EntryRecord[]): void {
    records.forEach((record) => {
      const before = this.heard.get(record.id);
      if (before?.peer.address === record.address && before.peer.leaving === record.leaving) return;
      this.hear({ ...record, load: before?.peer.load ?? NO_LOAD, ageMs: 0 });
    });
  }

  private youngerThan(ageMs: number): readonly Peer[] {
    const oldestMs = this.clock.monotonicMs() - ageMs;
    return [...this.heard.values()]
      .filter(({ heardAtMs }) => heardAtMs > oldestMs)
      .map(({ peer }) => peer);
  }
}
