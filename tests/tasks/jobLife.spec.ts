/**
 * Jobs from submission to their end, without faults and with common ones: evictions, outages of the
 * store, failing tasks and handovers.
 */
import test from 'ava';
import {
  PARTITION,
  taskClass,
  taskConfiguration,
  taskWorld,
  withOutage,
} from '../fixtures/taskWorld.js';

const JOB = 'timaru~0~a1';

// A job without any faults must be started exactly once.
test('should run a submitted task to completion and start it once', async (t) => {
  const world = taskWorld();
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(100);
  const submitting = entry.submit(JOB);
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  t.true((await submitting).ok);
  t.is(world.startCount(JOB), 1);
  t.deepEqual(world.violations(), []);
});

// A caller that retries a submission must not get a second job; another submission with the same id
// is a conflict.
test('should give one job for two submissions with the same id', async (t) => {
  const world = taskWorld();
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(100);
  const both = Promise.all([entry.submit(JOB), entry.submit(JOB)]);
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  const [first, second] = await both;
  t.true(first?.ok && second?.ok);
  t.is(world.startCount(JOB), 1);
  const other = await entry.submit(JOB, { payload: 'other' });
  t.is(other.err ? other.val.code : 'ok', 'conflict');
});

// A task in a data centre that is taken out must continue elsewhere without losing its progress.
test('should evict from a data centre that was taken out and resume from the checkpoint', async (t) => {
  const world = taskWorld();
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(100);
  const submitting = entry.submit(JOB, { payload: JSON.stringify({ runMs: 5_000 }) });
  await world.waitUntil(() => entry.show(JOB)?.state === 'running');
  await submitting;
  await world.advance(2_000);
  world.configure(withOutage(world.current(), 'timaru'));
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  const starts = world.history.events.filter(({ kind }) => kind === 'attempt-started');
  t.deepEqual(
    starts.map(({ dataCentre }) => dataCentre),
    ['timaru', 'temuka'],
  );
  t.truthy(starts[1]?.checkpoint);
  t.is(entry.show(JOB)?.evictions, 1);
  t.deepEqual(world.violations(), []);
});

// A job that is larger than any worker would otherwise wait for ever.
test('should fail a job that fits no worker and name the exceeded limit', async (t) => {
  const world = taskWorld();
  const giant = taskClass('giant', { size: { milliCores: 99_000, memoryMb: 1, accelerators: 0 } });
  world.configure(taskConfiguration({ taskClasses: new Map([['giant', giant]]) }));
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(100);
  const submitting = entry.submit(JOB, { taskClass: 'giant' });
  await world.waitUntil(() => entry.show(JOB)?.state === 'failed');
  t.true((await submitting).ok);
  t.is(entry.show(JOB)?.limit, 'milliCores');
  t.is(world.startCount(JOB), 0);
});

// A task that always fails would otherwise be retried without end.
test('should stop retrying after the maximum number of attempts of the class', async (t) => {
  const world = taskWorld();
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(100);
  const submitting = entry.submit(JOB, { payload: JSON.stringify({ runMs: 100, fail: true }) });
  await world.waitUntil(() => entry.show(JOB)?.state === 'failed');
  await submitting;
  t.is(world.startCount(JOB), 3);
  t.is(entry.show(JOB)?.limit, 'maximumAttempts');
});

// The new owner must neither lose nor restart an attempt that runs during the handover.
test('should hand a partition over without losing or repeating work', async (t) => {
  const world = taskWorld();
  const [first, second] = [world.entry('e1'), world.entry('e2')];
  await first.takePartition(1);
  await world.advance(100);
  const submitting = first.submit(JOB);
  await world.waitUntil(() => first.show(JOB)?.state === 'running');
  await submitting;
  const released = first.handler.release(PARTITION);
  await world.advance(200);
  await released;
  await second.takePartition(2);
  await world.waitUntil(() => second.show(JOB)?.state === 'completed');
  t.is(world.startCount(JOB), 1);
});

// Many starts at once could overload a data centre or a store that has just returned. A new
// configuration or a single lost answer must not slow starts down.
test('should spread starts out only when a data centre or the store returns', async (t) => {
  const world = taskWorld();
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(100);
  const normal = world.current();
  world.configure({ ...normal, version: 2 });
  world.configure(withOutage(normal, 'timaru'));
  t.is(world.capacityReturnCount(), 0);
  world.configure(normal);
  t.is(world.capacityReturnCount(), 1);
  world.store.faults.loseAnswers = 1;
  const submitting = entry.submit(JOB);
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  await submitting;
  t.is(world.capacityReturnCount(), 1);
  world.store.faults.down = true;
  entry.submit('timaru~0~a2').catch(() => undefined);
  await world.advance(8_000);
  world.store.faults.down = false;
  await world.waitUntil(() => entry.show('timaru~0~a2')?.state === 'completed');
  t.is(world.capacityReturnCount(), 2);
});

// With a slow store, the data centre is taken out while the attempt is being stored. The start must
// go to another data centre.
test('should send no start into a data centre that was taken out while the attempt was stored', async (t) => {
  const world = taskWorld();
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(100);
  world.store.faults.delayMs = 100;
  const submitting = entry.submit(JOB);
  await world.waitUntil(() => entry.latest(JOB)?.state === 'starting');
  world.configure(withOutage(world.current(), 'timaru'));
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  await submitting;
  const starts = world.history.events.filter(({ kind }) => kind === 'attempt-started');
  t.deepEqual(
    starts.map(({ dataCentre }) => dataCentre),
    ['temuka'],
  );
});
