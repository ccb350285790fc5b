/**
 * Owners of partitions of jobs together with the real owner of shards, instead of a fake one.
 */
import test from 'ava';
import { PARTITION, taskWorld, withOutage, type CrashPoint } from '../fixtures/taskWorld.js';

const JOB = 'timaru~0~a1';

const startWorld = async () => {
  const world = taskWorld();
  const shards = await world.useRealShards();
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(1_500);
  return { world, shards, entry };
};

// Guards against differences between the fake and the real owner of shards in an eviction.
test('should run, evict and resume with the real owner of shards', async (t) => {
  const { world, entry } = await startWorld();
  const submitting = entry.submit(JOB, { payload: JSON.stringify({ runMs: 6_000 }) });
  await world.waitUntil(() => entry.show(JOB)?.state === 'running');
  t.true((await submitting).ok);
  await world.advance(2_000);
  world.configure(withOutage(world.current(), 'timaru'));
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  const starts = world.history.events.filter(({ kind }) => kind === 'attempt-started');
  t.deepEqual(
    starts.map(({ dataCentre }) => dataCentre),
    ['timaru', 'temuka'],
  );
  t.truthy(starts[1]?.checkpoint);
  t.deepEqual(world.violations(), []);
});

// Guards against a takeover of a shard that restarts the attempts of non-idempotent tasks.
test('should keep attempts running while the owner of their shard is replaced', async (t) => {
  const { world, shards, entry } = await startWorld();
  const payload = JSON.stringify({ runMs: 30_000 });
  const submitting = entry.submit(JOB, { taskClass: 'settlement', payload });
  await world.waitUntil(() => entry.show(JOB)?.state === 'running');
  await submitting;
  await shards.replaceOwner();
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  t.is(world.startCount(JOB), 1);
});

const CRASHES: readonly (readonly [string, CrashPoint])[] = [
  ['before the start is sent', (method, moment) => method === 'start' && moment === 'before'],
  ['before the answer of the start', (method, moment) => method === 'start' && moment === 'after'],
  ['before the stop is sent', (method, moment) => method === 'stop' && moment === 'before'],
  ['before the answer of the stop', (method, moment) => method === 'stop' && moment === 'after'],
];

for (const [name, point] of CRASHES) {
  for (const taskClass of ['plan', 'settlement']) {
    for (const both of [false, true]) {
      const who = both ? 'both owners die' : 'the owner of the job dies';
      // Guards against two attempts of a job at the same time, after a crash during a start or a
      // stop whose outcome the next owner does not know.
      test(`should run a ${taskClass} in at most one place when ${who} ${name}`, async (t) => {
        const { world, shards, entry } = await startWorld();
        entry.killAt(point);
        const payload = JSON.stringify({ runMs: 5_000 });
        entry.submit(JOB, { taskClass, payload }).catch(() => undefined);
        await world.advance(2_000);
        world.configure(withOutage(world.current(), 'timaru'));
        await world.waitUntil(() => entry.isDead());
        if (both) await shards.replaceOwner();
        const second = world.entry('e2');
        await second.takePartition(2);
        await world.waitUntil(() => second.handler.find(PARTITION)?.jobs() !== undefined);
        const hasSettled = (): boolean =>
          ['completed', 'held'].includes(second.show(JOB)?.state ?? '');
        await world.waitUntil(hasSettled);
        await world.advance(20_000);
        if (taskClass === 'plan') t.is(second.show(JOB)?.state, 'completed');
        const starts = world.history.events.filter(({ kind }) => kind === 'attempt-started');
        if (taskClass === 'settlement') t.true(starts.slice(1).every((each) => each.checkpoint));
        t.deepEqual(world.violations(), []);
      });
    }
  }
}
