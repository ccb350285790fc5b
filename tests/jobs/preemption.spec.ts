/**
 * Tests preemption: urgent tasks arrive when workers are full of less urgent runs.
 */
import test from 'ava';
import { callWithin } from 'samphirenotch/time/call.js';

import { makeJob, makeOwnedSite, makeQueue, makeStep, type JobSite } from '../fixtures/jobSite.js';

const BATCH = '00000000000000b1';
const URGENT = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

const makeSite = () =>
  makeOwnedSite({
    workers: 2,
    milliCores: 2_000,
    behave: (taskId) => ({ size: SIZE, durationMs: taskId.startsWith(URGENT) ? 500 : 8_000 }),
  });

const submitUrgent = async (
  { site, owner }: Awaited<ReturnType<typeof makeSite>>,
  priority: number,
): Promise<void> => {
  const queue = makeQueue({ name: 'urgent', prefix: '/urgent/', priority });
  site.configure([site.queue, queue]);
  await site.run(400);
  const job = makeJob(makeStep());
  owner.entry.callerApi.commands
    .submit(URGENT, queue, job, callWithin(site.clock, 3_000))
    .catch((error: unknown) => site.record.violations.push(String(error)));
};

const stoppedOf = (site: JobSite) => site.record.runs.filter(({ kind }) => kind === 'stopped');

// Guards against urgent tasks that wait behind batch work, and against more stops than necessary.
test('should stop only one less urgent run for an urgent task', async (t) => {
  const made = await makeSite();
  const { site, owner } = made;
  await site.submit(owner, BATCH, makeJob(makeStep({ count: 4, checkpointing: true })));
  await site.run(1_000);
  await submitUrgent(made, 0);
  await site.run(1_500);
  t.is(await site.state(owner, URGENT), 'completed');
  t.is(stoppedOf(site).length, 1);
  await site.run(20_000);
  t.is(await site.state(owner, BATCH), 'completed');
  t.deepEqual(site.record.violations, []);
});

// Guards against runs of the same priority that preempt each other.
test('should stop no run for a task of the same priority', async (t) => {
  const made = await makeSite();
  const { site, owner } = made;
  await site.submit(owner, BATCH, makeJob(makeStep({ count: 4, checkpointing: true })));
  await site.run(1_000);
  await submitUrgent(made, site.queue.priority);
  await site.run(3_000);
  t.is(stoppedOf(site).length, 0);
});

// Guards against lost work: a run without checkpoints starts from the beginning.
test('should stop no run without checkpoints', async (t) => {
  const made = await makeSite();
  const { site, owner } = made;
  await site.submit(owner, BATCH, makeJob(makeStep({ count: 4 })));
  await site.run(1_000);
  await submitUrgent(made, 0);
  await site.run(3_000);
  t.is(stoppedOf(site).length, 0);
});

// Guards against urgent tasks that wait for room on a worker that answers polls but no stops, while runs on
// other workers could make room for them.
test('should stop a run elsewhere when a worker does not answer a stop', async (t) => {
  const made = await makeSite();
  const { site, owner } = made;
  await site.submit(owner, BATCH, makeJob(makeStep({ count: 4, checkpointing: true })));
  await site.run(1_000);
  const muted = site.workers.get('w0');
  if (muted) muted.dropsStops = true;
  await submitUrgent(made, 0);
  await site.run(4_000);
  t.is(await site.state(owner, URGENT), 'completed');
});
