/**
 * Scheduling rounds: how often they run, and the reasons why a job waits.
 */
import test from 'ava';
import { MINIMUM_ROUND_INTERVAL_MS } from 'samphirenotch/tasks/taskSettings.js';
import { PARTITION, taskClass, taskConfiguration, taskWorld } from '../fixtures/taskWorld.js';

const startWorld = async (configure = taskConfiguration()) => {
  const world = taskWorld();
  world.configure(configure);
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(200);
  return { world, entry };
};

const idsOf = (count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => `timaru~0~s${index}`);

// Guards against a busy loop: each request for a round would order the whole queue again.
test('should order the queue no more often than its interval however often a round is requested', async (t) => {
  const { world, entry } = await startWorld();
  const scheduler = entry.handler.find(PARTITION)?.currentScheduler();
  const before = world.queueOrderCount();
  for (let passedMs = 0; passedMs < 1_000; passedMs += 5) {
    scheduler?.notify();
    await world.clock.advance(5);
  }
  const looks = world.queueOrderCount() - before;
  t.true(looks > 5);
  t.true(looks <= 1_000 / MINIMUM_ROUND_INTERVAL_MS + 1);
});

// Guards against a tenant that exceeds its quota, of which each of the two partitions allows half.
test('should keep a tenant within its quota and name the quota', async (t) => {
  const normal = taskConfiguration();
  const quota = [...normal.quotas.values()].map((each) => ({ ...each, runningTasks: 4 }));
  const { world, entry } = await startWorld({
    ...normal,
    quotas: new Map(quota.map((each) => [each.name, each])),
  });
  const ids = idsOf(6);
  const submitting = ids.map((id) => entry.submit(id, { payload: '{"runMs":2000}' }));
  await world.advance(1_500);
  await Promise.all(submitting);
  const running = ids.filter((id) => entry.show(id)?.state === 'running');
  t.is(running.length, 2);
  const waiting = ids.find((id) => entry.show(id)?.state === 'queued') ?? '';
  t.is(await entry.explain(waiting), 'quota');
  await world.waitUntil(() => ids.every((id) => entry.show(id)?.state === 'completed'));
});

// Guards against head-of-line blocking by a task for which no worker has room.
test('should start a small task while a large one finds no room', async (t) => {
  const large = taskClass('large', { size: { milliCores: 16_000, memoryMb: 1, accelerators: 0 } });
  const normal = taskConfiguration();
  const { world, entry } = await startWorld({
    ...normal,
    taskClasses: new Map([...normal.taskClasses, ['large', large]]),
  });
  const ids = idsOf(5);
  const payload = '{"runMs":20000}';
  const submitting = ids.map((id) => entry.submit(id, { taskClass: 'large', payload }));
  await world.advance(1_000);
  const late = entry.submit('timaru~0~late', { taskClass: 'large', payload });
  await world.advance(500);
  await Promise.all([...submitting, late]);
  t.is(ids.filter((id) => entry.show(id)?.state === 'running').length, 4);
  t.is(await entry.explain('timaru~0~late'), 'no-room-now');
  const first = ids.find((id) => entry.show(id)?.state === 'running') ?? '';
  const cancelling = entry.cancel(first);
  const small = entry.submit('timaru~0~small', { payload: '{"runMs":100}' });
  await world.waitUntil(() => entry.show('timaru~0~small')?.state === 'completed');
  await Promise.all([cancelling, small]);
  t.is(world.violations().length, 0);
});
