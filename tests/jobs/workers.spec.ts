/**
 * What holds while workers are lost, restart and answer late.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

test('should run a task again only after the lease of a lost worker has lapsed', async (t) => {
  const { site, owner } = await makeOwnedSite({
    behave: () => ({ size: SIZE, durationMs: 20_000 }),
  });
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(500);
  const [first] = site.record.runs;
  site.cutFromWorkers('a-1', [first?.workerId ?? '']);
  await site.run(15_000);
  t.is(site.record.runs.length, 2);
  t.is(site.record.runs[0]?.kind, 'lapsed');
  t.deepEqual(site.record.violations, []);
});

test('should stop an order without an answer before the task is started again', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 2,
    behave: () => ({ size: SIZE, durationMs: 3_000 }),
  });
  site.workers.forEach((worker) => worker.failStarts('late'));
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(12_000);
  t.deepEqual(site.record.violations, []);
  t.is(await site.state(owner, ID), 'completed');
});

test('should keep the room of an order without an answer until it is settled', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    milliCores: 1_000,
    behave: () => ({ size: SIZE, durationMs: 1_500 }),
  });
  site.workers.get('w0')?.failStarts('answer-lost');
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.submit(owner, '00000000000000a2', makeJob(makeStep()));
  await site.run(12_000);
  t.deepEqual(site.record.violations, []);
  t.is(await site.state(owner, '00000000000000a2'), 'completed');
});

test('should run what was on a worker that has started again under its id', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 2,
    behave: () => ({ size: SIZE, durationMs: 2_000 }),
  });
  await site.submit(owner, ID, makeJob(makeStep({ count: 2 })));
  await site.run(500);
  site.workers.get('w0')?.restart();
  await site.run(6_000);
  t.is(await site.state(owner, ID), 'completed');
  t.deepEqual(site.record.violations, []);
  t.true(site.record.runs.some(({ kind }) => kind === 'lost'));
});

test('should take a worker for gone that stays out of the directory', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 2 });
  site.data.remove('workers/w0');
  await site.run(3_500);
  await site.submit(owner, ID, makeJob(makeStep({ count: 4 })));
  await site.run(3_000);
  t.true(site.record.runs.every(({ workerId }) => workerId === 'w1'));
});

test('should not acknowledge ends before they are stored', async (t) => {
  const { site, owner } = await makeOwnedSite();
  const successor = site.start('b');
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(300);
  // The end comes while the owner cannot store it, and dies with it.
  owner.store.isCutOff = true;
  await site.run(1_200);
  owner.kill();
  await site.run(9_000);
  t.is(await site.state(successor, ID), 'completed');
  t.is(site.record.runs.length, 1);
  t.deepEqual(site.record.violations, []);
});

test('should count a job as waiting until a worker has begun one of its tasks', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 1 });
  site.workers.get('w0')?.failStarts('dropped', 'dropped', 'dropped');
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(3_200);
  t.is(site.record.runs.length, 0);
  t.is(owner.entry.callerApi.queries.countWaiting(site.queue.name), 1);
  await site.run(6_000);
  t.is(await site.state(owner, ID), 'completed');
  t.is(owner.entry.callerApi.queries.countWaiting(site.queue.name), 0);
});

test('should see what ends soon in a new life that a worker began unseen', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    behave: () => ({ size: SIZE, durationMs: 0 }),
  });
  await site.submit(owner, ID, makeJob(makeStep({ count: 3 })));
  await site.run(3_000);
  // Nothing runs there, so nothing looks: the owner still knows numbers of ends of the former life.
  site.workers.get('w0')?.restart();
  const later = '00000000000000a2';
  await site.submit(owner, later, makeJob(makeStep()));
  await site.run(2_000);
  t.is(await site.state(owner, later), 'completed');
  t.is(site.record.runsOf(`${later}.0.0.0`).length, 1);
  t.deepEqual(site.record.violations, []);
});

test('should reach a worker that starts again at another address', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 1 });
  const worker = site.workers.get('w0');
  if (!worker) throw new Error('no worker');
  worker.restart();
  worker.address = 'w0:2';
  site.registerWorker('w0', { address: worker.address, bornMs: worker.bornMs });
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(3_000);
  t.is(await site.state(owner, ID), 'completed');
});

// Guards against a stop that is sent to a former address for good, so that its task never runs again.
test('should stop a run at the address to which its worker has moved', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 1 });
  const worker = site.workers.get('w0');
  if (!worker) throw new Error('no worker');
  worker.failStarts('dropped');
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(300);
  site.cutFromWorkers('a-1', ['w0']);
  // The start has timed out by now, and its stop is on the way.
  await site.run(700);
  worker.restart();
  worker.address = 'w0:2';
  site.registerWorker('w0', { address: worker.address, bornMs: worker.bornMs });
  site.healWorkers();
  await site.run(5_000);
  t.is(await site.state(owner, ID), 'completed');
});

// Guards against a worker that stays out of use because nothing looks at it after its runs were given up.
test('should use a worker again that was silent until nothing was left on it', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 1 });
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(200);
  site.cutFromWorkers('a-1', ['w0']);
  await site.run(10_000);
  site.healWorkers();
  await site.run(5_000);
  t.is(await site.state(owner, ID), 'completed');
  t.deepEqual(site.record.violations, []);
});

// Guards against an end that the worker forgets although nobody has read it.
test('should acknowledge nothing to a worker that may have started again unseen', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    behave: (taskId) => ({ size: SIZE, durationMs: taskId.endsWith('.1') ? 10_000 : 300 }),
  });
  site.putJobs([ID], makeJob(makeStep({ count: 2 })));
  await site.run(200);
  // The first end is seen long before it is stored.
  owner.store.failCommits('silent');
  await site.run(1_500);
  // A look is not answered; meanwhile the worker starts again and takes an order.
  site.cutFromWorkers(owner.client, ['w0']);
  await site.run(150);
  site.workers.get('w0')?.restart();
  site.healWorkers();
  const later = '00000000000000a2';
  site.putJobs([later], makeJob(makeStep()));
  await site.run(4_000);
  t.is(site.record.runsOf(`${later}.0.0.0`).length, 1);
  t.deepEqual(site.record.violations, []);
  t.is(await site.state(owner, later), 'completed');
});
