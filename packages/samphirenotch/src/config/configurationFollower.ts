/**
 * Follows the accepted configuration: learns of new versions from the store and from peers, fetches
 * their content and puts them in force, newer ones only.
 */
import type { PeerClients } from '../grpc/grpcService.js';
import type { Peers } from '../membership/peers.js';
import { partLog } from '../observability/log.js';
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { AcceptedContent } from './acceptedContent.js';
import type { HeldParts } from './configurationPartService.js';
import type { ConfigurationStamp } from './configurationStamp.js';
import type { ConfigurationView } from './configurationView.js';
import { ContentFetcher } from './contentFetcher.js';
import type { ConfigurationSet } from './objects.js';
import type { PartSource } from './partSource.js';
import { PeerParts } from './peerParts.js';
import { isRootReader } from './rootReaders.js';
import { settleInTime } from '../time/settleInTime.js';
import { Sightings, type Sighting } from './sightings.js';
import { readRecord, ROOT_KEY } from './storedRoot.js';
import { StoreParts } from './storeParts.js';

/** Pause between two reads of the accepted version from the store. */
const READ_INTERVAL_MS = 400;

/** A read without an answer is given up after this time. */
const READ_TIMEOUT_MS = 2_000;

/** Without a confirmation younger than this an entry reads the store itself. */
const SELF_READ_AGE_MS = 1_500;

/** Pause between two tries to fetch content. */
const FETCH_INTERVAL_MS = 250;

/** A first configuration confirmed within this time is taken at once. */
const FIRST_CONFIRMED_AGE_MS = 3_000;

/** How long a first configuration without such a confirmation waits for peers to be found. */
const FIRST_WAIT_MS = 2_000;

/** How long it waits for every live peer to tell what it has. */
const LONGEST_FIRST_WAIT_MS = 10_000;

/** At most so many peers are asked for a part before the store is. */
const PEERS_ASKED = 3;

const log = partLog('configuration');

/** What a follower works with. */
export interface FollowerParts {
  readonly store: KeyValueStore;
  readonly peers: Peers;
  readonly clients: PeerClients;
  readonly clock: Clock;
}

/** Follows the accepted configuration. */
export class ConfigurationFollower implements ConfigurationView, HeldParts {
  private readonly sightings = new Sightings();

  private readonly fetcher: ContentFetcher;

  private readonly startedAtMs: number;

  private readonly listeners: ((set: ConfigurationSet) => void)[] = [];

  private inForce: AcceptedContent | undefined;

  private confirmedAtMs = Number.NEGATIVE_INFINITY;

  private news = new AbortController();

  /** Peers that told what they have in force. */
  private readonly heard = new Set<string>();

  /**
   * @param parts - what it works with
   */
  constructor(private readonly parts: FollowerParts) {
    this.fetcher = new ContentFetcher(parts.clock);
    this.startedAtMs = parts.clock.monotonicMs();
  }

  current(): ConfigurationSet | undefined {
    return this.inForce?.set;
  }

  confirmedAgeMs(): number {
    return this.parts.clock.monotonicMs() - this.confirmedAtMs;
  }

  onChange(listener: (set: ConfigurationSet) => void): void {
    this.listeners.push(listener);
  }

  heldPart(digest: string): string | undefined {
    return this.inForce?.parts.get(digest);
  }

  /** @returns what to tell peers, or nothing before a configuration is in force */
  stamp(): ConfigurationStamp | undefined {
    const set = this.current();
    if (!set) return undefined;
    return {
      version: set.version,
      digest: set.digest,
      confirmedAgeMs: this.confirmedAgeMs(),
    };
  }

  /**
   * Takes in what a peer told.
   *
   * @param peerId - the peer
   * @param stamp - what it told
   * @param askedAtMs - monotonic time, read here before the message was sent that the peer answered
   *   with the stamp; nothing if it was not asked, and then the stamp confirms nothing
   */
  peerStamp(peerId: string, stamp: ConfigurationStamp, askedAtMs?: number): void {
    const confirmedAtMs = (askedAtMs ?? Number.NEGATIVE_INFINITY) - stamp.confirmedAgeMs;
    const { version, digest } = stamp;
    if (!this.inForce) this.heard.add(peerId);
    this.observe({ version, digest, confirmedAtMs }, peerId, true);
  }

  /**
   * Follows until stopped.
   *
   * @param signal - ends it
   */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.news.abort(), { once: true });
    await Promise.all([this.readTask(signal), this.fetchTask(signal)]);
  }

  private async readTask(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.mustRead()) await this.readRoot(signal);
      await this.parts.clock.sleep(READ_INTERVAL_MS, signal);
    }
  }

  private mustRead(): boolean {
    const confirmedAtMs = this.sightings.newest()?.confirmedAtMs ?? Number.NEGATIVE_INFINITY;
    const ageMs = this.parts.clock.monotonicMs() - confirmedAtMs;
    return ageMs > SELF_READ_AGE_MS || isRootReader(this.parts.peers);
  }

  private async readRoot(signal: AbortSignal): Promise<void> {
    const { clock, store } = this.parts;
    const sentAtMs = clock.monotonicMs();
    const call = callWithin(clock, READ_TIMEOUT_MS, signal);
    const answer = await settleInTime(clock, call, store.get(ROOT_KEY, call));
    if (!answer?.ok || !answer.val) return;
    const record = readRecord(answer.val.value);
    if (!record) {
      log.error('The accepted version in the store is malformed.', { key: ROOT_KEY });
      return;
    }
    const { version, digest } = record;
    const outcome = this.observe({ version, digest, confirmedAtMs: sentAtMs }, 'store', false);
    if (outcome === 'older') log.warn('The store answered with an older version.', { version });
  }

  private observe(sighting: Sighting, source: string, isHolder: boolean): string {
    const outcome = this.sightings.observe(sighting, source, isHolder);
    const newest = this.sightings.newest();
    if (newest && newest.version === this.inForce?.set.version) {
      this.confirmedAtMs = newest.confirmedAtMs;
    }
    if (outcome === 'newer' || outcome === 'same') this.news.abort();
    return outcome;
  }

  private async fetchTask(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.news = new AbortController();
      const newest = this.sightings.newest();
      if (newest && this.isWanted(newest)) await this.fetch(newest, signal);
      const wake = this.isBehind() ? signal : this.news.signal;
      await this.parts.clock.sleep(FETCH_INTERVAL_MS, wake);
    }
  }

  private isBehind(): boolean {
    const newest = this.sightings.newest();
    return newest !== undefined && newest.version !== this.inForce?.set.version;
  }

  /** A first configuration that nobody confirmed lately may be older than the one before a restart. */
  private isWanted(newest: Sighting): boolean {
    if (!this.isBehind()) return false;
    if (this.inForce) return true;
    const nowMs = this.parts.clock.monotonicMs();
    if (nowMs - newest.confirmedAtMs < FIRST_CONFIRMED_AGE_MS) return true;
    const waitedMs = nowMs - this.startedAtMs;
    const isAllHeard = this.parts.peers.live().every(({ id }) => this.heard.has(id));
    return waitedMs >= (isAllHeard ? FIRST_WAIT_MS : LONGEST_FIRST_WAIT_MS);
  }

  private async fetch(wanted: Sighting, signal: AbortSignal): Promise<void> {
    const { version, digest } = wanted;
    const sources = this.sources();
    const content = await this.fetcher.fetch(version, digest, sources, this.inForce, signal);
    if (!content.ok) {
      log.warn('Cannot fetch a configuration yet.', { version, reason: content.val.message });
      return;
    }
    this.accept(content.val, wanted);
  }

  private accept(content: AcceptedContent, wanted: Sighting): void {
    const newest = this.sightings.newest() ?? wanted;
    this.inForce = content;
    this.confirmedAtMs =
      newest.version === wanted.version ? newest.confirmedAtMs : wanted.confirmedAtMs;
    log.info('Configuration is in force.', { version: wanted.version, digest: wanted.digest });
    this.listeners.forEach((listener) => listener(content.set));
  }

  private sources(): readonly PartSource[] {
    const { clients, clock, peers, store } = this.parts;
    const isNear = (id: string): number =>
      peers.find(id)?.dataCentre === peers.selfDataCentre ? 0 : 1;
    const nearFirst = [...this.sightings.holders()].sort((a, b) => isNear(a) - isNear(b));
    const asked = nearFirst.slice(0, PEERS_ASKED);
    return [...asked.map((id) => new PeerParts(clients, id, clock)), new StoreParts(store)];
  }
}
