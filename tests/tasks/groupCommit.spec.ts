/**
 * Durability of a partition's records: acknowledged jobs survive faults of the store, and the
 * number of writes does not grow with the number of tasks.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import test from 'ava';
import type { Failure } from 'samphirenotch/failure.js';
import type { Result } from 'samphirenotch/results.js';
import { chunkKey, decodeHead, headKey } from 'samphirenotch/tasks/partitionRecord.js';
import { PARTITION, taskWorld } from '../fixtures/taskWorld.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const PAYLOAD = 'x'.repeat(9_000);

// Answers of the store are lost, the store is down and owners die at random. An acknowledged job
// must not get lost, and a job that was refused as not run must not appear.
for (const seed of SEEDS) {
  test(`should keep every acknowledged job after faults and takeovers, seed ${seed}`, async (t) => {
    const generator = xoroshiro128plus(seed);
    const draw = (end: number): number => uniformInt(generator, 0, end - 1);
    const world = taskWorld(seed);
    world.shards.faults.chooseLoss = (step) => (step === 'reserve' ? 'request' : undefined);
    const acknowledged = new Set<string>();
    const refused = new Set<string>();
    let entry = world.entry('e0');
    await entry.takePartition(1);
    await world.advance(200);
    const note = (id: string, result: Result<unknown, Failure>): void => {
      if (result.ok) acknowledged.add(id);
      else if (result.val.effect === 'not-run') refused.add(id);
    };
    for (let round = 0; round < 12; round += 1) {
      world.store.faults.loseAnswers = draw(3);
      world.store.faults.down = draw(5) === 0;
      const owner = entry;
      [0, 1, 2, 3, 4, 5].forEach((count) => {
        const id = `timaru~0~r${round}x${count}`;
        const submitting = owner.submit(id, { payload: `${PAYLOAD}${round}` });
        submitting.then((result) => note(id, result)).catch(() => undefined);
      });
      await world.advance(100 + draw(400));
      world.store.faults.down = false;
      if (draw(3) > 0) continue;
      owner.kill();
      const next = world.entry(`e${round + 1}`);
      entry = next;
      await next.takePartition(round + 2);
      await world.waitUntil(() => next.handler.find(PARTITION)?.jobs() !== undefined);
    }
    world.store.faults.loseAnswers = 0;
    await world.advance(6_000);
    const last = world.entry('last');
    await last.takePartition(100);
    await world.waitUntil(() => last.handler.find(PARTITION)?.jobs() !== undefined);
    t.true(acknowledged.size > 10);
    t.deepEqual(
      [...acknowledged].filter((id) => last.show(id) === undefined),
      [],
    );
    t.deepEqual(
      [...refused].filter((id) => last.show(id) !== undefined),
      [],
    );
  });
}

// Payloads of many jobs could exceed the store's limit for one value, and chunks that the head no
// longer refers to could stay in the store for ever.
test('should keep values below the maximum size and remove unused chunks', async (t) => {
  const world = taskWorld();
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(100);
  const ids = Array.from({ length: 300 }, (_, index) => `timaru~0~c${index}`);
  const submitting = Promise.all(ids.map((id) => entry.submit(id, { payload: PAYLOAD })));
  await world.waitUntil(() => ids.every((id) => entry.show(id) !== undefined));
  await submitting;
  const cancelling = Promise.all(ids.map((id) => entry.cancel(id)));
  await world.waitUntil(() => ids.every((id) => entry.show(id)?.state === 'cancelled'));
  await cancelling;
  await world.advance(10_000);
  const call = { deadlineMs: Infinity, signal: new AbortController().signal };
  const listing = await world.store.list('tasks/', call);
  const items = listing.ok ? listing.val.items : [];
  const head = items.find(({ key }) => key === headKey(PARTITION));
  const named = decodeHead(head?.value ?? '', 'head').map(({ chunks }) => chunks);
  const stored = items.filter(({ key }) => key !== headKey(PARTITION)).map(({ key }) => key);
  const expected = named.ok ? named.val.map((name) => chunkKey(PARTITION, name)) : [];
  const total = items.reduce((sum, { value }) => sum + value.length, 0);
  t.true(stored.length > 0);
  t.true(total < (ids.length * PAYLOAD.length) / 4);
  t.deepEqual(stored.sort(), expected.sort());
  t.true(items.every(({ value }) => Buffer.byteLength(value) < world.store.maximumValueBytes / 2));
});

// A store that refuses writes as overloaded is not an outage: submissions must wait, and commits
// must become less frequent instead of being retried at once.
test('should slow down and refuse nothing while the store is overloaded', async (t) => {
  const world = taskWorld(1, 8);
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(100);
  const results: Promise<Result<unknown, Failure>>[] = [];
  for (let count = 0; count < 100; count += 1) {
    results.push(entry.submit(`timaru~0~e${count}`));
    await world.advance(50);
  }
  await world.advance(2_000);
  const refused = (await Promise.all(results)).filter(({ err }) => err);
  t.deepEqual(refused, []);
  t.true(world.store.meter.counts().refused < 25);
});

// One write for each change would overload the store when many tasks arrive at once.
test('should write as often for two hundred tasks as for ten that come in the same time', async (t) => {
  const writes = [];
  for (const count of [10, 200]) {
    const world = taskWorld();
    const entry = world.entry('e1');
    await entry.takePartition(1);
    await world.advance(100);
    const before = world.store.meter.counts().writes;
    const ids = Array.from({ length: count }, (_, index) => `timaru~0~d${index}`);
    const submitting = Promise.all(
      ids.map((id) => entry.submit(id, { payload: '{"runMs":1000}' })),
    );
    await world.advance(1_500);
    await submitting;
    writes.push(world.store.meter.counts().writes - before);
  }
  const [few = 0, many = 0] = writes;
  t.true(many <= 1_500 / 50 + 1);
  t.true(many < few * 6);
});
