/**
 * Spread of the status of entries over many of them, while each sends heartbeats to only a few.
 */
import test from 'ava';
import { Gossip } from 'samphirenotch/membership/gossip.js';
import {
  chooseNeighbours,
  Heartbeats,
  MAXIMUM_HEARTBEAT_PEERS,
} from 'samphirenotch/membership/heartbeats.js';
import type { HeartbeatTransport } from 'samphirenotch/membership/heartbeatTransport.js';
import { PeerTable } from 'samphirenotch/membership/peerTable.js';
import { Ok } from 'samphirenotch/results.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

const idsOf = (count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => `e${String(index).padStart(3, '0')}`);

/** Returns the ids in an order unrelated to the ring. */
const shuffled = (ids: readonly string[]): readonly string[] =>
  ids.map((_, index) => ids[(index * 23) % ids.length]).filter((id) => id !== undefined);

const neighboursOf = (id: string, ids: readonly string[]): readonly string[] =>
  chooseNeighbours(
    id,
    ids.filter((each) => each !== id),
  );

/** Counts the rounds of heartbeats until an update from one entry has reached all. */
const roundsToReachAll = (from: string, ids: readonly string[]): number => {
  const reached = new Set([from]);
  for (let rounds = 0; ; rounds += 1) {
    if (reached.size === ids.length) return rounds;
    const next = [...reached].flatMap((id) => neighboursOf(id, ids));
    next.forEach((id) => reached.add(id));
  }
};

for (const count of [2, 11, 12, 13, 28, 100]) {
  // A neighbour chosen twice would receive double heartbeats, and another entry none.
  test(`should send heartbeats to a bounded number of distinct peers with ${count} entries`, (t) => {
    const ids = idsOf(count);
    ids.forEach((id) => {
      const chosen = neighboursOf(id, ids);
      t.is(chosen.length, Math.min(count - 1, MAXIMUM_HEARTBEAT_PEERS));
      t.is(new Set(chosen).size, chosen.length);
      t.false(chosen.includes(id));
    });
  });
}

// With neighbours that are all close on the ring, an update would need too many hops to the far
// side.
test('should reach the farthest of a hundred entries within four heartbeats', (t) => {
  const ids = idsOf(100);
  t.true(roundsToReachAll('e042', ids) <= 4);
});

// Each heartbeat carries the status of only a few other entries. If the status of an entry takes too
// long to reach the others, they count it as dead although it is live.
test('should count 19 in 20 of fifty-six entries as live at all times', async (t) => {
  const ids = shuffled(idsOf(56));
  const clock = new ManualClock();
  const stopped = new AbortController();
  const self = (id: string) => ({ id, dataCentre: 'Timaru', address: `${id}:1` });
  const load = () => ({ freeSlots: 1, queuedRequests: 0, services: [] });
  const tables = new Map(ids.map((id) => [`${id}:1`, new PeerTable(clock, self(id), load)]));
  const gossips = new Map(
    [...tables].map(([address, table]) => [
      address,
      new Gossip(
        table,
        () => undefined,
        () => undefined,
      ),
    ]),
  );
  const transport: HeartbeatTransport = {
    exchange: (address, message) => {
      const peer = gossips.get(address);
      if (!peer) throw new Error(`There is no ${address}.`);
      peer.receiveRequest(message);
      return Promise.resolve(Ok(peer.compose()));
    },
  };
  const records = ids.map((id) => ({ ...self(id), leaving: false }));
  for (const [address, table] of tables) {
    const gossip = gossips.get(address);
    if (!gossip) throw new Error(`There is no ${address}.`);
    table.mergeFromStore(records.filter(({ id }) => id !== table.selfId));
    new Heartbeats(clock, table, gossip, transport, []).run(stopped.signal).catch(t.fail);
    await clock.advance(17);
  }
  await clock.advance(20_000);
  const liveFractions: number[] = [];
  for (let passedMs = 0; passedMs < 5000; passedMs += 500) {
    await clock.advance(500);
    const live = [...tables.values()].reduce((sum, table) => sum + table.live().length, 0);
    liveFractions.push(live / (ids.length * (ids.length - 1)));
  }
  stopped.abort();
  t.true(Math.min(...liveFractions) >= 19 / 20);
});
