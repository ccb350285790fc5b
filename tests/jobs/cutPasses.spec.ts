/**
 * Tasks that must not wait for the end of a burst whose starts take many passes.
 */
import test from 'ava';

import {
  BURST_MS,
  SIZE,
  bulk,
  hopeless,
  lessUrgent,
  makeBulkSite,
  put,
  runBurst,
  urgent,
} from '../fixtures/bulkSite.js';
import { makeJob, makeStep } from '../fixtures/jobSite.js';

const URGENT_ID = 'ffffffffffffffff';

const LESS_URGENT_ID = 'eeeeeeeeeeeeeeee';

/** Time within which an urgent task must start where there is room, in milliseconds. */
const MAX_START_DELAY_MS = 1_000;

// Guards against a task that waits for the end of a burst of less urgent ones after its run has
// failed.
test('should start a failed urgent task again while less urgent ones keep coming', async (t) => {
  let starts = 0;
  const site = await makeBulkSite({
    behave: (taskId) => {
      if (!taskId.startsWith(URGENT_ID)) return { size: SIZE, durationMs: 1_000 };
      starts += 1;
      return { size: SIZE, durationMs: 500, fails: starts === 1 };
    },
  });
  await runBurst(site, 1_000);
  put(site, urgent, [URGENT_ID], makeJob(makeStep()));
  await runBurst(site, BURST_MS, 1_000);
  const [first, second] = site.record.runsOf(`${URGENT_ID}.0.0.0`);
  t.is(first?.kind, 'failed');
  t.true((second?.startedMs ?? Infinity) - (first?.endedMs ?? 0) <= MAX_START_DELAY_MS);
});

// Guards against room that goes to a less urgent task because the urgent one was tried just before
// it became free.
test('should give room that becomes free to the most urgent task that waits for it', async (t) => {
  const large = { ...SIZE, milliCores: 64_000 };
  const sizeOf = (taskId: string) =>
    taskId.startsWith('0') ? { size: SIZE, durationMs: 1_000 } : { size: large, durationMs: 1_500 };
  const site = await makeBulkSite({ behave: sizeOf });
  site.registerWorker('w0', { labels: ['only'] });
  await site.run(600);
  const step = makeStep({ size: large, requiredLabel: 'only' });
  put(site, urgent, ['dddddddddddddddd'], makeJob(step));
  await site.run(200);
  await runBurst(site, 500);
  put(site, urgent, [URGENT_ID], makeJob(step));
  await runBurst(site, 500, 500);
  put(site, lessUrgent, [LESS_URGENT_ID], makeJob(step));
  await runBurst(site, BURST_MS, 1_000);
  const order = site.record.runs
    .filter(({ taskId }) => !taskId.startsWith('0'))
    .map(({ taskId }) => taskId.slice(0, 1));
  t.deepEqual(order.slice(0, 2), ['d', 'f']);
});

// Guards against tickets that expire unused because their steps are not tried again in time.
test('should use a ticket while tasks that need none keep coming', async (t) => {
  const site = await makeBulkSite({ allows: () => true });
  const queue = { ...urgent, policy: { decisionMs: 100, perWorkerMs: 0 } };
  site.configure([site.queue, queue, bulk]);
  await site.run(200);
  await runBurst(site, 1_000);
  put(site, queue, [URGENT_ID], makeJob(makeStep()));
  const putMs = site.clock.monotonicMs();
  await runBurst(site, BURST_MS, 1_000);
  t.true((site.policy?.calls.length ?? 0) > 0);
  const [run] = site.record.runsOf(`${URGENT_ID}.0.0.0`);
  t.true((run?.startedMs ?? Infinity) - putMs <= MAX_START_DELAY_MS);
});

// Guards against long-running tasks that wait until no short task is left that can meet its target.
test('should start a long-running task while tasks that can meet their target keep coming', async (t) => {
  const site = await makeBulkSite();
  await runBurst(site, 1_000);
  put(site, urgent, [URGENT_ID], makeJob(makeStep({ longRunning: true })));
  const putMs = site.clock.monotonicMs();
  await runBurst(site, BURST_MS, 1_000);
  const [run] = site.record.runsOf(`${URGENT_ID}.0.0.0`);
  t.true((run?.startedMs ?? Infinity) - putMs <= MAX_START_DELAY_MS);
});

// Guards against urgent jobs that come late to an owner with too little processor, and then wait beside
// free room for as long as less urgent ones that can meet their target keep coming (SHORT of price checks).
[{ filler: true }, {}].forEach((kind) => {
  test(`should start urgent tasks that are late while ${kind.filler ? 'fillers' : 'tasks'} that can meet their target keep coming`, async (t) => {
    const site = await makeBulkSite();
    await runBurst(site, 1_000, 0, kind);
    put(site, hopeless, [URGENT_ID], makeJob(makeStep({ count: 6 })));
    const putMs = site.clock.monotonicMs();
    await runBurst(site, BURST_MS, 1_000, kind);
    const starts = site.record.runs
      .filter(({ taskId }) => taskId.startsWith(URGENT_ID))
      .map(({ startedMs }) => startedMs - putMs);
    t.is(starts.length, 6);
    t.true(Math.max(...starts) <= MAX_START_DELAY_MS, `last start after ${Math.max(...starts)} ms`);
  });
});
