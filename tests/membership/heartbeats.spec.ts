import test from 'ava';
import type { ConfigurationStamp } from 'samphirenotch/config/configurationStamp.js';
import { Failure } from 'samphirenotch/failure.js';
import { Gossip } from 'samphirenotch/membership/gossip.js';
import { chooseNeighbours, Heartbeats } from 'samphirenotch/membership/heartbeats.js';
import type { HeartbeatTransport } from 'samphirenotch/membership/heartbeatTransport.js';
import { PeerTable } from 'samphirenotch/membership/peerTable.js';
import { Err, Ok } from 'samphirenotch/results.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

/**
 * Runs entries that exchange heartbeats by address. The first one is the seed of all others. An
 * answer takes 100 ms.
 */
const runEntries = (count: number) => {
  const clock = new ManualClock();
  const gossips = new Map<string, Gossip>();
  const silent = new Set<string>();
  const stamps: (ConfigurationStamp & { readonly peerId: string })[] = [];
  let exchanges = 0;
  const transport: HeartbeatTransport = {
    exchange: async (address, message, call) => {
      exchanges += 1;
      const gossip = gossips.get(address);
      if (!gossip || silent.has(address) || silent.has(message.sender.address)) {
        await clock.sleep(call.deadlineMs - clock.monotonicMs(), call.signal);
        const failure = { code: 'deadline', step: 'test', peer: address } as const;
        return Err(new Failure({ ...failure, effect: 'unknown', message: 'silent' }));
      }
      gossip.receiveRequest(message);
      const answer = gossip.compose();
      await clock.sleep(100, call.signal);
      return Ok(answer);
    },
  };
  const tables = Array.from({ length: count }, (_, index) => {
    const address = `10.0.0.${index}:1`;
    const self = { id: `e${String(index).padStart(3, '0')}`, dataCentre: 'timaru', address };
    const load = () => ({ freeSlots: index, queuedRequests: 0, services: [] });
    const table = new PeerTable(clock, self, load);
    const own = { version: 3, digest: 'd', confirmedAgeMs: 500 };
    const gossip = new Gossip(
      table,
      () => own,
      (peerId, stamp, requestedAtMs = Number.NEGATIVE_INFINITY) => {
        const confirmedAgeMs = stamp.confirmedAgeMs + clock.monotonicMs() - requestedAtMs;
        stamps.push({ ...stamp, confirmedAgeMs, peerId });
      },
    );
    gossips.set(address, gossip);
    new Heartbeats(clock, table, gossip, transport, ['10.0.0.0:1']).run(
      new AbortController().signal,
    );
    return table;
  });
  return { clock, tables, silent, stamps, exchanges: () => exchanges };
};

// While the store is down, an entry that has just started can discover the others only from the
// seed.
test('should discover all peers from one seed without the store', async (t) => {
  const { clock, tables } = runEntries(7);
  await clock.advance(5000);
  tables.forEach((table) => t.is(table.live().length, 6));
  t.is(tables[1]?.find('e003')?.load.freeSlots, 3);
});

// Peers that keep using an entry that is shutting down or dead lose requests to it.
test('should notice that a peer leaves within two heartbeats, and that it is silent within five seconds', async (t) => {
  const { clock, tables, silent } = runEntries(3);
  await clock.advance(5000);
  tables[1]?.leave();
  await clock.advance(2000);
  t.true(tables[2]?.find('e001')?.leaving);
  silent.add('10.0.0.1:1');
  await clock.advance(5000);
  t.deepEqual(
    tables[2]?.live().map(({ id }) => id),
    ['e000'],
  );
});

// Heartbeats to every peer would grow with the square of the number of entries.
test('should send heartbeats to at most ten peers and still know all of many', async (t) => {
  const { clock, tables, exchanges } = runEntries(24);
  await clock.advance(30_000);
  const before = exchanges();
  await clock.advance(10_000);
  t.true((exchanges() - before) / 24 / 10 <= 10, 'per entry and second');
  const fewest = Math.min(...tables.map((table) => table.known().length));
  t.is(fewest, 23);
});

// Neighbours that differ from this pattern leave parts of the ring without short paths.
test('should choose neighbours at growing distances on both sides of the ring of ids', (t) => {
  const ids = Array.from({ length: 30 }, (_, index) => `e${String(index).padStart(2, '0')}`);
  const others = ids.filter((id) => id !== 'e01');
  t.deepEqual([...chooseNeighbours('e01', others)].sort(), [
    'e00',
    'e02',
    'e03',
    'e05',
    'e08',
    'e15',
    'e17',
    'e24',
    'e27',
    'e29',
  ]);
});

// A configuration stamp ages while it is under way. The delay is bounded for an answer, by the time
// since the request, but unknown for a heartbeat that a peer sends unasked.
test('should add the transit time to the age of a confirmation, and ignore unrequested ones', async (t) => {
  const { clock, stamps } = runEntries(2);
  await clock.advance(3000);
  const answered = stamps.filter(({ confirmedAgeMs }) => Number.isFinite(confirmedAgeMs));
  t.true(answered.length > 0 && answered.length < stamps.length);
  answered.forEach(({ confirmedAgeMs }) => t.is(confirmedAgeMs, 600));
});
