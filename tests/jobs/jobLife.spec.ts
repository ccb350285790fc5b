/**
 * Life cycle of a job on a site without faults.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

// Guards against a job that stays open, or tasks that run more than once.
test('should complete a job whose tasks are done', async (t) => {
  const { site, owner } = await makeOwnedSite();
  t.is(await site.submit(owner, ID, makeJob(makeStep({ count: 3 }))), 'done');
  await site.run(2_000);
  t.is(await site.state(owner, ID), 'completed');
  t.is(site.record.runs.length, 3);
  t.deepEqual(site.record.violations, []);
});

// Guards against a step that starts before its input is complete.
test('should start a step only when its predecessors are done', async (t) => {
  const { site, owner } = await makeOwnedSite();
  await site.submit(owner, ID, makeJob(makeStep({ count: 3 }), makeStep({ count: 2, after: [0] })));
  await site.run(4_000);
  const first = site.record.runs.filter(({ taskId }) => taskId.includes('.0.0.'));
  const second = site.record.runs.filter(({ taskId }) => taskId.includes('.0.1.'));
  const lastEnd = Math.max(...first.map(({ endedMs }) => endedMs ?? Infinity));
  t.is(second.length, 2);
  t.true(second.every(({ startedMs }) => startedMs >= lastEnd));
});

// Guards against a second execution when a caller submits a job again, also at another entry.
test('should accept a job once however often it is submitted', async (t) => {
  const { site, owner } = await makeOwnedSite();
  const other = site.start('b');
  await site.run(500);
  const job = makeJob(makeStep());
  t.is(await site.submit(owner, ID, job), 'done');
  t.is(await site.submit(other, ID, job), 'done');
  await site.run(3_000);
  t.is(await site.submit(other, ID, job), 'done');
  await site.run(2_000);
  t.is(site.record.runs.length, 1);
});

// Guards against entries that know only the jobs that were submitted to them.
test('should return the state of any job at any entry', async (t) => {
  const { site, owner } = await makeOwnedSite();
  const other = site.start('b');
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep()));
  t.not(await site.state(other, ID), 'not-found');
  t.is(await site.state(other, '00000000000000ff'), 'not-found');
  await site.run(2_500);
  t.is(await site.state(other, ID), 'completed');
});

// Guards against endless retries of a task that always fails.
test('should fail a job whose task has used all its attempts', async (t) => {
  const { site, owner } = await makeOwnedSite({
    behave: () => ({ size: SIZE, durationMs: 200, fails: true }),
  });
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(4_000);
  t.is(await site.state(owner, ID), 'failed');
  t.is(site.record.runs.length, site.queue.maximumAttempts);
});

// Guards against long-running tasks that hold their workers after a cancellation.
test('should stop the runs of a cancelled job', async (t) => {
  const { site, owner } = await makeOwnedSite({
    behave: () => ({ size: SIZE, durationMs: Infinity }),
  });
  await site.submit(owner, ID, makeJob(makeStep({ count: 2, longRunning: true })));
  await site.run(1_000);
  t.is(site.record.runs.filter(({ endedMs }) => endedMs === undefined).length, 2);
  t.is(await site.cancel(owner, ID), 'done');
  await site.run(1_500);
  t.deepEqual(
    site.record.runs.map(({ kind }) => kind),
    ['stopped', 'stopped'],
  );
  t.is(await site.state(owner, ID), 'cancelled');
});

// Guards against counting ends of a long-running task as failed attempts, which would fail its job.
test('should restart a long-running task however it ends', async (t) => {
  const { site, owner } = await makeOwnedSite({
    behave: () => ({ size: SIZE, durationMs: 700, fails: true }),
  });
  await site.submit(owner, ID, makeJob(makeStep({ longRunning: true })));
  await site.run(6_000);
  t.true(site.record.runs.length > site.queue.maximumAttempts);
  t.is(await site.state(owner, ID), 'running');
});

// Guards against overcommitted workers when several jobs are placed at the same time.
test('should never start more on a worker than its capacity', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 2, milliCores: 3_000 });
  for (let at = 0; at < 6; at += 1) {
    await site.submit(owner, `00000000000000b${at}`, makeJob(makeStep({ count: 5 })));
  }
  await site.run(8_000);
  t.is(site.record.runs.length, 30);
  t.deepEqual(site.record.violations, []);
});

// Guards against a gang that holds part of its workers while it waits for the others.
test('should start the tasks of a gang together or not at all', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 2,
    milliCores: 2_000,
    behave: (taskId) => ({ size: SIZE, durationMs: taskId.startsWith(ID) ? 2_000 : 800 }),
  });
  await site.submit(owner, '00000000000000a2', makeJob(makeStep({ count: 2 })));
  await site.run(100);
  await site.submit(owner, ID, makeJob(makeStep({ count: 4, gang: true })));
  await site.run(5_000);
  const members = site.record.runs.filter(({ taskId }) => taskId.startsWith(ID));
  const starts = members.map(({ startedMs }) => startedMs);
  t.is(members.length, 4);
  t.true(Math.max(...starts) - Math.min(...starts) < 50);
  t.is(new Set(members.map(({ run }) => run)).size, 1);
});

// Guards against members of a gang that wait in vain for one whose start was lost.
test('should stop the members of a gang of which one may not have started', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 4,
    milliCores: 1_000,
    behave: () => ({ size: SIZE, durationMs: 1_000, gangSize: 4 }),
  });
  site.workers.get('w2')?.failStarts('dropped');
  await site.submit(owner, ID, makeJob(makeStep({ count: 4, gang: true })));
  await site.run(6_000);
  const kinds = site.record.runs.map(({ kind }) => kind);
  t.false(kinds.includes('gang-alone'), kinds.join(' '));
  t.is(kinds.filter((kind) => kind === 'done').length, 4);
  t.is(await site.state(owner, ID), 'completed');
  t.deepEqual(site.record.violations, []);
});

// Guards against occurrences that start early, late or all at once.
test('should start each occurrence when it is due', async (t) => {
  const { site, owner } = await makeOwnedSite();
  const startAtMs = site.clock.wallMs() + 2_000;
  const job = { ...makeJob(makeStep()), repeatCount: 2, startAtMs, intervalMs: 1_500 };
  await site.submit(owner, ID, job);
  await site.run(7_000);
  const starts = site.record.runs.map(({ startedMs }) => startedMs - startAtMs);
  t.is(starts.length, 2);
  t.true((starts[0] ?? -1) >= 0 && (starts[0] ?? 0) < 500);
  t.true((starts[1] ?? -1) >= 1_500 && (starts[1] ?? 0) < 2_000);
  t.is(await site.state(owner, ID), 'completed');
});

// Guards against starts in a data centre during its evacuation, and an evacuation that never ends.
test('should start nothing in an evacuated data centre', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 4 });
  site.data.put('operator/evacuate/dc1', '{}');
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep({ count: 6 })));
  await site.run(3_000);
  t.true(site.record.runs.every(({ workerId }) => ['w0', 'w2'].includes(workerId)));
  site.data.remove('operator/evacuate/dc1');
  await site.run(500);
  await site.submit(owner, '00000000000000a3', makeJob(makeStep({ count: 6 })));
  await site.run(3_000);
  t.true(site.record.runs.some(({ workerId }) => ['w1', 'w3'].includes(workerId)));
});

// Guards against tasks that a worker cannot finish before it stops.
test('should start nothing on a draining worker', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 2 });
  site.registerWorker('w0', { phase: 'draining', remainingMs: 2_000 });
  await site.run(600);
  await site.submit(owner, ID, makeJob(makeStep({ count: 4 })));
  await site.run(3_000);
  t.deepEqual([...new Set(site.record.runs.map(({ workerId }) => workerId))], ['w1']);
});

// Guards against a count that includes running jobs or misses waiting ones.
test('should count jobs of which no task has started as waiting', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    milliCores: 1_000,
    behave: () => ({ size: SIZE, durationMs: 60_000 }),
  });
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(1_000);
  await site.submit(owner, '00000000000000a4', makeJob(makeStep()));
  await site.submit(owner, '00000000000000a5', makeJob(makeStep()));
  await site.run(1_500);
  t.is(owner.entry.callerApi.queries.countWaiting(site.queue.name), 2);
});

// Guards against a wrong count from an entry that cannot reach the store.
test('should return no count of waiting jobs at an entry that has not read them recently', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 0 });
  await site.submit(owner, ID, makeJob(makeStep()));
  const other = site.start('b', true);
  await site.run(1_000);
  t.is(other.entry.callerApi.queries.countWaiting(site.queue.name), undefined);
  other.store.isCutOff = false;
  await site.run(3_000);
  t.is(other.entry.callerApi.queries.countWaiting(site.queue.name), 1);
  other.store.isCutOff = true;
  await site.run(4_000);
  t.is(other.entry.callerApi.queries.countWaiting(site.queue.name), undefined);
});

// Guards against callers that find no final state, and a store that grows with each job.
test('should remove a job some time after its end, and not before', async (t) => {
  const { site, owner } = await makeOwnedSite({ behave: () => ({ size: SIZE, durationMs: 100 }) });
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(125_000);
  t.is(await site.state(owner, ID), 'completed');
  await site.run(80_000);
  t.is(await site.state(owner, ID), 'not-found');
  t.deepEqual(
    [...site.data.items.keys()].filter((key) => key.includes(ID)),
    [],
  );
});
