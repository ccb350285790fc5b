import test from 'ava';
import type { ConfigurationStamp } from 'samphirenotch/config/configurationStamp.js';
import { Failure } from 'samphirenotch/failure.js';
import { Gossip } from 'samphirenotch/membership/gossip.js';
import { chooseNeighbours, Heartbeats } from 'samphirenotch/membership/heartbeats.js';
import type { HeartbeatTransport } from 'samphirenotch/membership/heartbeatTransport.js';
import { PeerTable } from 'samphirenotch/membership/peerTable.js';
import { Err, Ok } from 'samphirenotch/results.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

/** Makes entries that reach one another by address; the first one is every other's seed. */
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

test('should learn all peers from one seed while the store is down', async (t) => {
  const { clock, tables } = runEntries(7);
  await clock.advance(5000);
  tables.forEach((table) => t.is(table.live().length, 6));
  t.is(tables[1]?.find('e003')?.load.freeSlots, 3);
});

test('should see a peer leave within two heartbeats, and fall silent within five seconds', async (t) => {
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

test('should send to at most ten peers however many there are, and still know all', async (t) => {
  const { clock, tables, exchanges } = runEntries(24);
  await clock.advance(30_000);
  const before = exchanges();
  await clock.advance(10_000);
  t.true((exchanges() - before) / 24 / 10 <= 10, 'per entry and second');
  const fewest = Math.min(...tables.map((table) => table.known().length));
  t.is(fewest, 23);
});

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

test('should add the way to the age of a confirmation, and trust none that was not asked for', async (t) => {
  const { clock, stamps } = runEntries(2);
  await clock.advance(3000);
  const answered = stamps.filter(({ confirmedAgeMs }) => Number.isFinite(confirmedAgeMs));
  t.true(answered.length > 0 && answered.length < stamps.length);
  answered.forEach(({ confirmedAgeMs }) => t.is(confirmedAgeMs, 600));
});
