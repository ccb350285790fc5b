/**
 * Checks how workers are handled that become slow although they report good health.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const IDS = ['00000000000000a1', '00000000000000a2', '00000000000000a3'];
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

const makeSite = () =>
  makeOwnedSite({
    workers: 8,
    milliCores: 2_000,
    behave: () => ({ size: SIZE, durationMs: 2_000 }),
  });

test('should move runs off a slow worker and start nothing new on it for a while', async (t) => {
  const { site, owner } = await makeSite();
  const slow = site.workers.get('w0');
  if (slow) slow.slowdown = 7;
  await site.submit(owner, IDS[0] ?? '', makeJob(makeStep({ count: 16, checkpointing: true })));
  await site.run(7_500);
  t.is(await site.state(owner, IDS[0] ?? ''), 'completed');
  const moved = site.record.runs.filter(
    ({ workerId, kind }) => workerId === 'w0' && kind === 'stopped',
  );
  t.is(moved.length, 2);
  t.deepEqual(site.record.violations, []);
});

test('should not move runs whose workers are healthy', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 8,
    milliCores: 2_000,
    // Durations of a step's tasks differ by a factor of up to two.
    behave: (taskId) => ({ size: SIZE, durationMs: 1_500 + 150 * Number(taskId.split('.')[3]) }),
  });
  await site.submit(owner, IDS[0] ?? '', makeJob(makeStep({ count: 12, checkpointing: true })));
  await site.run(6_000);
  t.is(await site.state(owner, IDS[0] ?? ''), 'completed');
  t.is(site.record.runs.length, 12);
});

test('should start a copy of a slow run where copies are allowed, and stop the slow run', async (t) => {
  const { site, owner } = await makeSite();
  site.record.copiesAllowed = true;
  const slow = site.workers.get('w3');
  if (slow) slow.slowdown = 7;
  await site.submit(owner, IDS[0] ?? '', makeJob(makeStep({ count: 12, speculative: true })));
  await site.run(7_500);
  t.is(await site.state(owner, IDS[0] ?? ''), 'completed');
  const copied = site.record.runs.filter(({ workerId }) => workerId === 'w3');
  t.true(copied.length > 0);
  t.true(copied.every(({ kind }) => kind === 'stopped'));
  t.deepEqual(site.record.violations, []);
});

test('should not avoid all workers when all are slow', async (t) => {
  const { site, owner } = await makeSite();
  await site.submit(owner, IDS[0] ?? '', makeJob(makeStep({ count: 8, checkpointing: true })));
  await site.run(600);
  site.workers.forEach((worker) => {
    const each = worker;
    each.slowdown = 6;
  });
  await site.submit(owner, IDS[1] ?? '', makeJob(makeStep({ count: 8, checkpointing: true })));
  await site.run(30_000);
  t.is(await site.state(owner, IDS[1] ?? ''), 'completed');
  t.is(site.record.runs.filter(({ kind }) => kind === 'stopped').length, 0);
});
