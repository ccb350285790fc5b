/**
 * Sends heartbeats to a bounded number of peers, with one loop for each chosen address.
 */
import { partLog } from '../observability/log.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { Gossip } from './gossip.js';
import type { HeartbeatTransport } from './heartbeatTransport.js';
import type { PeerTable } from './peerTable.js';

/** Pause between heartbeats to one peer, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1000;

/** Timeout of one heartbeat, in milliseconds. */
const HEARTBEAT_TIMEOUT_MS = 1000;

/** Maximum number of peers that one entry sends heartbeats to. */
export const MAXIMUM_HEARTBEAT_PEERS = 10;

const log = partLog('heartbeats');

/**
 * Distances to neighbours on one side of the ring: distinct, growing geometrically from 1 to at
 * most half of the ring.
 */
const ringDistances = (peers: number): readonly number[] => {
  const perSide = MAXIMUM_HEARTBEAT_PEERS / 2;
  const farthest = Math.floor(peers / 2);
  const factor = farthest ** (1 / (perSide - 1));
  const distances: number[] = [];
  for (let index = 0; index < perSide; index += 1) {
    const nearest = (distances.at(-1) ?? 0) + 1;
    distances.push(Math.max(nearest, Math.round(factor ** index)));
  }
  return distances;
};

/**
 * Chooses the peers to send heartbeats to. If there are few, all are chosen. Otherwise the ids form
 * a sorted ring, and peers on both sides are chosen at distances that grow by a constant factor, so
 * that an update reaches the farthest entry in few hops.
 *
 * @param selfId - id of the sending entry
 * @param peerIds - ids of the other entries
 * @returns ids of the chosen entries
 */
export const chooseNeighbours = (selfId: string, peerIds: readonly string[]): readonly string[] => {
  if (peerIds.length <= MAXIMUM_HEARTBEAT_PEERS) return peerIds;
  const sorted = [...peerIds].sort();
  const position = sorted.filter((id) => id < selfId).length;
  const ring = [...sorted.slice(position), ...sorted.slice(0, position)];
  const chosen = ringDistances(ring.length).flatMap((distance) => [
    ring[distance - 1],
    ring[ring.length - distance],
  ]);
  return chosen.filter((id) => id !== undefined);
};

/** Sends heartbeats to chosen peers, and to seed addresses at which no peer is known yet. */
export class Heartbeats {
  private readonly loops = new Map<string, AbortController>();

  /**
   * @param clock - for pauses and deadlines
   * @param table - the known entries
   * @param gossip - composes heartbeats and processes the answers
   * @param transport - sends heartbeats
   * @param seedAddresses - addresses of entries in the settings, from which the others are
   * discovered
   */
  constructor(
    private readonly clock: Clock,
    private readonly table: PeerTable,
    private readonly gossip: Gossip,
    private readonly transport: HeartbeatTransport,
    private readonly seedAddresses: readonly string[],
  ) {}

  /**
   * Sends heartbeats until the signal aborts.
   *
   * @param signal - ends all loops
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.adjustLoops(signal);
      await this.clock.sleep(HEARTBEAT_INTERVAL_MS, signal);
    }
    this.loops.forEach((controller) => controller.abort());
  }

  private adjustLoops(signal: AbortSignal): void {
    const addresses = this.chooseAddresses();
    [...this.loops].forEach(([address, controller]) => {
      if (addresses.has(address)) return;
      controller.abort();
      this.loops.delete(address);
    });
    addresses.forEach((address) => {
      if (this.loops.has(address) || signal.aborted) return;
      const controller = new AbortController();
      this.loops.set(address, controller);
      this.sendRepeatedly(address, controller.signal);
    });
  }

  private chooseAddresses(): ReadonlySet<string> {
    const peers = this.table.known();
    const chosen = new Set(
      chooseNeighbours(
        this.table.selfId,
        peers.map(({ id }) => id),
      ),
    );
    const own = this.table.ownStatus().address;
    const peerAddresses = new Set(peers.map(({ address }) => address));
    const seeds = this.seedAddresses.filter((each) => each !== own && !peerAddresses.has(each));
    const neighbours = peers.filter(({ id }) => chosen.has(id)).map(({ address }) => address);
    return new Set([...neighbours, ...seeds]);
  }

  private async sendRepeatedly(address: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.sendHeartbeat(address, signal);
      await this.clock.sleep(HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  private async sendHeartbeat(address: string, signal: AbortSignal): Promise<void> {
    const sentAtMs = this.clock.monotonicMs();
    const call = callWithin(this.clock, HEARTBEAT_TIMEOUT_MS, signal);
    const answer = await this.transport.exchange(address, this.gossip.compose(), call);
    if (answer.ok) {
      this.gossip.receiveAnswer(answer.val, sentAtMs);
      return;
    }
    log.debug('A heartbeat was not answered.', { peer: address, reason: answer.val.message });
  }
}
