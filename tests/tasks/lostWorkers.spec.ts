/**
 * Workers and data centres that are lost or cut off while attempts run.
 */
import test from 'ava';
import { taskWorld, withOutage } from '../fixtures/taskWorld.js';

const JOB = 'timaru~0~a1';

const running = async (taskClass: string, runMs = 60_000) => {
  const world = taskWorld();
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(100);
  const submitting = entry.submit(JOB, { taskClass, payload: JSON.stringify({ runMs }) });
  await world.waitUntil(() => entry.show(JOB)?.state === 'running');
  await submitting;
  return { world, entry };
};

// A silent worker may still run the task. A restart before the lease has expired would run it
// twice.
test('should restart an idempotent task only after the lease of its lost worker has expired', async (t) => {
  const { world, entry } = await running('plan', 20_000);
  const lost = [...world.workers.values()].find((worker) => worker.id === 'timaru-1');
  if (lost) lost.faults.silent = true;
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  t.is(world.startCount(JOB), 2);
  t.deepEqual(world.violations(), []);
});

// The effect of the lost attempt is unknown, so an operator must decide instead of a restart.
test('should hold a non-idempotent task whose worker was lost', async (t) => {
  const { world, entry } = await running('settlement');
  const lost = [...world.workers.values()].find((worker) => worker.id === 'timaru-1');
  if (lost) lost.faults.silent = true;
  await world.waitUntil(() => entry.show(JOB)?.state === 'held');
  await world.advance(30_000);
  t.is(entry.show(JOB)?.state, 'held');
  t.is(world.startCount(JOB), 1);
  const cancelled = entry.cancel(JOB);
  await world.advance(500);
  t.true((await cancelled).ok);
});

// A data centre that is cut off keeps running its tasks. A restart elsewhere, also by a new owner
// of the partition, would run them twice.
for (const taskClass of ['plan', 'settlement']) {
  test(`should start no second attempt of a ${taskClass} while its data centre is cut off`, async (t) => {
    const { world, entry } = await running(taskClass, 40_000);
    world.shards.faults.unreachableDataCentres.add('timaru');
    await world.advance(30_000);
    t.is(entry.show(JOB)?.state, 'running');
    t.is(world.startCount(JOB), 1);
    const second = world.entry('e2');
    entry.kill();
    await second.takePartition(2);
    await world.advance(30_000);
    t.is(world.startCount(JOB), 1);
    world.shards.faults.unreachableDataCentres.clear();
    await world.waitUntil(() => second.show(JOB)?.state === 'completed');
    t.is(world.startCount(JOB), 1);
    t.deepEqual(world.violations(), []);
  });
}

// The second data centre is taken out while the task is being resumed there. The checkpoint of the
// first attempt must not get lost.
test('should resume from the last checkpoint when evicted again during the resume', async (t) => {
  const { world, entry } = await running('plan', 6_000);
  await world.advance(1_000);
  world.configure(withOutage(world.current(), 'timaru'));
  await world.waitUntil(
    () => entry.latest(JOB)?.state === 'starting' && entry.latest(JOB)?.attempts === 2,
  );
  world.configure(withOutage(world.current(), 'temuka'));
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  const starts = world.history.events.filter(({ kind }) => kind === 'attempt-started');
  const progress = starts.map(({ checkpoint }) =>
    checkpoint === undefined ? 0 : (JSON.parse(checkpoint) as { doneMs: number }).doneMs,
  );
  t.true(starts.length >= 2);
  t.deepEqual(
    progress,
    [...progress].sort((left, right) => left - right),
  );
  t.true((progress[1] ?? 0) > 0);
  t.deepEqual(world.violations(), []);
});

// The checkpoint is lost with the worker; an idempotent task starts from the beginning.
test('should start from the beginning when the checkpoint was lost with the worker', async (t) => {
  const { world, entry } = await running('plan', 3_000);
  const lost = [...world.workers.values()].find((worker) => worker.id === 'timaru-1');
  await lost?.close();
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  const starts = world.history.events.filter(({ kind }) => kind === 'attempt-started');
  t.is(starts.length, 2);
  t.is(starts[1]?.checkpoint, undefined);
});

// An attempt without a record would run for ever. One of a newer owner (epoch 9) must not be
// stopped, since this owner does not know its records.
test('should stop an attempt that no record refers to', async (t) => {
  const { world, entry } = await running('plan');
  const report = {
    attemptId: 'timaru~0~gone.1.1',
    jobId: 'timaru~0~gone',
    partition: 'partition/timaru/0',
    taskClass: 'plan',
    tenant: 'desk',
    size: { milliCores: 1, memoryMb: 1, accelerators: 0 },
    phase: 'running' as const,
  };
  const stopped: string[] = [];
  world.shards.faults.chooseLoss = (step, attemptId) => {
    if (step === 'stop') stopped.push(attemptId);
    return undefined;
  };
  const owner = entry.handler.find('partition/timaru/0');
  t.is(await owner?.report('shard/timaru/r1', 'timaru-2', report), false);
  const newer = { ...report, attemptId: 'timaru~0~gone.9.1' };
  t.is(await owner?.report('shard/timaru/r1', 'timaru-2', newer), false);
  await world.advance(500);
  t.deepEqual(stopped, ['timaru~0~gone.1.1']);
  t.is(await owner?.report('shard/timaru/r1', 'timaru-2', { ...report, phase: 'stopped' }), true);
});

// A class that is configured to restart during a network partition must run elsewhere, but only
// after the lease of the unreachable attempt has expired.
test('should restart a task elsewhere during a cut once its lease has expired', async (t) => {
  const world = taskWorld();
  const entry = world.entry('e1');
  world.shards.faults.renewedWhileReported.add('roaming');
  await entry.takePartition(1);
  await world.advance(12_000);
  const payload = JSON.stringify({ runMs: 90_000 });
  const submitting = entry.submit(JOB, { taskClass: 'roaming', payload });
  await world.waitUntil(() => entry.show(JOB)?.state === 'running');
  await submitting;
  world.shards.faults.unreachableDataCentres.add('timaru');
  await world.waitUntil(() => world.startCount(JOB) === 2);
  world.shards.faults.unreachableDataCentres.clear();
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  const starts = world.history.events.filter(({ kind }) => kind === 'attempt-started');
  t.deepEqual(
    starts.map(({ dataCentre }) => dataCentre),
    ['timaru', 'temuka'],
  );
  t.deepEqual(world.violations(), []);
});

// A former owner that still accepts reports would keep the attempt's lease alive, and the new owner
// would restart the task while it runs.
test('should take no report that keeps work alive once another entry may own the partition', async (t) => {
  const world = taskWorld();
  const [first, second] = [world.entry('e1'), world.entry('e2')];
  world.shards.faults.renewedWhileReported.add('roaming');
  await first.takePartition(1);
  await world.advance(12_000);
  const payload = JSON.stringify({ runMs: 300_000 });
  const submitting = first.submit(JOB, { taskClass: 'roaming', payload });
  await world.waitUntil(() => first.show(JOB)?.state === 'running');
  await submitting;
  world.routeReportsTo(first);
  world.shards.faults.chooseLoss = (_step, attemptId) =>
    attemptId.endsWith('.1.1') ? 'request' : undefined;
  await second.takePartition(2);
  await world.waitUntil(() => world.startCount(JOB) === 2);
  t.deepEqual(world.violations(), []);
});
