/**
 * Checks that each task runs, and never twice at once, while workers are lost, restart or answer
 * late.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

// Guards against a task that runs twice at once because its owner only lost contact with the
// worker.
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

// Guards against a task that runs twice at once because a worker carries an unanswered start out
// late.
test('should stop a run whose start was not answered before its task is started again', async (t) => {
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

// Guards against an overcommitted worker: a start without an answer may have been carried out.
test('should keep the resources of an unanswered start reserved until it is settled', async (t) => {
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

test('should run tasks again whose worker has restarted under its id', async (t) => {
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

test('should start nothing on a worker that stays missing from the directory', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 2 });
  site.data.remove('workers/w0');
  await site.run(3_500);
  await site.submit(owner, ID, makeJob(makeStep({ count: 4 })));
  await site.run(3_000);
  t.true(site.record.runs.every(({ workerId }) => workerId === 'w1'));
});

// Guards against a run end that the worker forgets and the owner loses, so that a task runs again
// after it was done.
test('should not acknowledge run ends before they are stored', async (t) => {
  const { site, owner } = await makeOwnedSite();
  const successor = site.start('b');
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(300);
  // The run ends while the owner cannot store the end, and the owner is killed.
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

test('should receive run ends of a worker that has restarted unnoticed', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    behave: () => ({ size: SIZE, durationMs: 0 }),
  });
  await site.submit(owner, ID, makeJob(makeStep({ count: 3 })));
  await site.run(3_000);
  // An idle worker is not polled: the owner still has sequence numbers of the former incarnation.
  site.workers.get('w0')?.restart();
  const later = '00000000000000a2';
  await site.submit(owner, later, makeJob(makeStep()));
  await site.run(2_000);
  t.is(await site.state(owner, later), 'completed');
  t.is(site.record.runsOf(`${later}.0.0.0`).length, 1);
  t.deepEqual(site.record.violations, []);
});

test('should reach a worker that has restarted at another address', async (t) => {
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

// Guards against a stop that is retried for ever at the worker's former address, so that its task
// never runs again.
test('should stop a run at the address to which its worker has moved', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 1 });
  const worker = site.workers.get('w0');
  if (!worker) throw new Error('no worker');
  worker.failStarts('dropped');
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(300);
  site.cutFromWorkers('a-1', ['w0']);
  // The start has timed out by now, and its stop is being sent.
  await site.run(700);
  worker.restart();
  worker.address = 'w0:2';
  site.registerWorker('w0', { address: worker.address, bornMs: worker.bornMs });
  site.healWorkers();
  await site.run(5_000);
  t.is(await site.state(owner, ID), 'completed');
});

// Guards against an unresponsive worker that is never used again because it is not polled once its
// runs were dropped.
test('should use a worker again that was unresponsive until all its runs were dropped', async (t) => {
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

// Guards against a run end that the worker forgets before the owner has read it: an acknowledgement
// with a sequence number of its former incarnation.
test('should acknowledge no run end to a worker that may have restarted unnoticed', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    behave: (taskId) => ({ size: SIZE, durationMs: taskId.endsWith('.1') ? 10_000 : 300 }),
  });
  site.putJobs([ID], makeJob(makeStep({ count: 2 })));
  await site.run(200);
  // The first end is read long before it is stored.
  owner.store.failCommits('silent');
  await site.run(1_500);
  // A poll is not answered; meanwhile the worker restarts and accepts an order.
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
