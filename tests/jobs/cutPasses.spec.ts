/**
 * Tasks that must not wait for the end of a burst whose starts take many passes.
 */
import test from 'ava';
import { encodeAccepted } from 'samphirenotch/jobs/model/acceptedJob.js';
import { ACCEPTED_PREFIX } from 'samphirenotch/jobs/store/jobKeys.js';
import type { JobSpec, StepSpec } from 'samphirenotch/jobs/model/jobSpec.js';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import type { Queue } from 'samphirenotch/jobs/model/siteConfiguration.js';

import {
  makeDividedSite,
  makeJob,
  makeOwnedSite,
  makeQueue,
  makeStep,
  type JobSite,
  type JobSiteOptions,
} from '../fixtures/jobSite.js';

const URGENT_ID = 'ffffffffffffffff';
const LESS_URGENT_ID = 'eeeeeeeeeeeeeeee';

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Step of the simulated arrivals, and tasks that arrive in it: more than an owner can start. */
const STEP_MS = 50;
const TASKS_PER_STEP = 60;

/** How long more tasks arrive than can be started, in milliseconds. */
const BURST_MS = 5_000;

/** Time within which an urgent task must start where there is room, in milliseconds. */
const MAX_START_DELAY_MS = 1_000;

/** Time within which a task must start where only another share has room, in milliseconds. */
const MAX_OTHER_SHARE_DELAY_MS = 3_000;

const urgent = makeQueue({
  name: 'urgent',
  prefix: '/urgent/',
  priority: 1,
  targetLatencyMs: 60_000,
});
const lessUrgent = makeQueue({ name: 'less', prefix: '/less/', priority: 2 });
const bulk = makeQueue({ name: 'bulk', prefix: '/bulk/', priority: 3 });

/** Its jobs cannot be in time any more once the owner knows of them. */
const hopeless = makeQueue({
  name: 'hopeless',
  prefix: '/hopeless/',
  priority: 1,
  stretch: 0,
  targetLatencyMs: 0,
});

const put = (
  site: JobSite,
  queue: Queue,
  ids: readonly string[],
  job: JobSpec,
  home = WHOLE_SITE_SHARE_ID,
): void => {
  const writes = ids.map((id) => ({
    key: ACCEPTED_PREFIX + id,
    value: encodeAccepted({
      id,
      home,
      queue,
      acceptedAtMs: site.clock.wallMs(),
      job,
    }),
  }));
  site.data.apply({ expectations: [], writes, removals: [] });
};

const makeBulkSite = async (options: JobSiteOptions = {}): Promise<JobSite> => {
  const { site } = await makeOwnedSite({
    workers: 40,
    milliCores: 64_000,
    startCostMs: 1,
    behave: () => ({ size: SIZE, durationMs: 1_000 }),
    ...options,
  });
  site.configure([site.queue, urgent, lessUrgent, bulk, hopeless]);
  await site.run(200);
  return site;
};

/** Submits more tasks than can be started, for the length of the burst. */
const runBurst = async (
  site: JobSite,
  durationMs = BURST_MS,
  first = 0,
  step: Partial<StepSpec> = {},
  home = WHOLE_SITE_SHARE_ID,
): Promise<void> => {
  for (let at = 0; at < durationMs; at += STEP_MS) {
    const id = (first + at).toString(16).padStart(16, '0');
    put(site, bulk, [id], makeJob(makeStep({ count: TASKS_PER_STEP, ...step })), home);
    await site.run(STEP_MS);
  }
};

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

// Guards against steps that fit nowhere and take the place of others in every pass that is cut short, so
// that a long-running task doesn't run although there is room for it (LOST).
[
  { name: 'that fit nowhere', blocker: { requiredLabel: 'missing' } },
  { name: 'of gangs that fit nowhere', blocker: { requiredLabel: 'missing', gang: true } },
].forEach(({ name, blocker }) => {
  [{ longRunning: true }, {}].forEach((kind) => {
    test(`should start a ${kind.longRunning ? 'long-running' : 'late'} task behind many ${name} while passes are cut short`, async (t) => {
      const site = await makeBulkSite();
      const queue = kind.longRunning ? urgent : hopeless;
      const blockers = Array.from({ length: 12 }, (_, index) => `bbbbbbbbbbbbbb${10 + index}`);
      put(site, queue, blockers, makeJob(makeStep({ ...kind, ...blocker })));
      await runBurst(site, 1_000);
      put(site, queue, [URGENT_ID], makeJob(makeStep(kind)));
      const putMs = site.clock.monotonicMs();
      await runBurst(site, BURST_MS, 1_000);
      const [run] = site.record.runsOf(`${URGENT_ID}.0.0.0`);
      t.true((run?.startedMs ?? Infinity) - putMs <= MAX_START_DELAY_MS);
    });
  });
});

// Guards against a long-running task that fits nowhere in its share and never reaches another one, because
// the passes of its owner are cut short before they come to it (LOST).
test('should run a long-running task in another share while the passes of its own are cut short', async (t) => {
  const { site } = await makeDividedSite({
    workers: 40,
    milliCores: 64_000,
    startCostMs: 1,
    behave: () => ({ size: SIZE, durationMs: 1_000 }),
  });
  site.configure([site.queue, urgent, bulk]);
  site.registerWorker('w1', { labels: ['only'] });
  await site.run(1_000);
  await runBurst(site, 1_000, 0, {}, 'dc0');
  put(
    site,
    urgent,
    [URGENT_ID],
    makeJob(makeStep({ longRunning: true, requiredLabel: 'only' })),
    'dc0',
  );
  const putMs = site.clock.monotonicMs();
  await runBurst(site, BURST_MS, 1_000, {}, 'dc0');
  const [run] = site.record.runsOf(`${URGENT_ID}.0.0.0`);
  t.true((run?.startedMs ?? Infinity) - putMs <= MAX_OTHER_SHARE_DELAY_MS);
});

// Guards against tasks that are tried only in passes whose unplaced tasks are not looked at: other shares
// are considered less often than passes take place.
test('should offer each long-running task that fits nowhere to another share', async (t) => {
  const { site } = await makeDividedSite({
    workers: 40,
    milliCores: 64_000,
    startCostMs: 1,
    behave: () => ({ size: SIZE, durationMs: 1_000 }),
  });
  site.configure([site.queue, urgent, bulk]);
  site.registerWorker('w1', { labels: ['only'] });
  await site.run(1_000);
  await runBurst(site, 1_000, 0, {}, 'dc0');
  const idsOf = (letter: string, count: number) =>
    Array.from({ length: count }, (_, index) => `${letter.repeat(14)}${10 + index}`);
  const lasting = { longRunning: true };
  const blocked = makeJob(makeStep({ ...lasting, requiredLabel: 'missing' }));
  const others = idsOf('c', 4);
  put(site, urgent, idsOf('b', 4), blocked, 'dc0');
  put(site, urgent, others, makeJob(makeStep({ ...lasting, requiredLabel: 'only' })), 'dc0');
  const putMs = site.clock.monotonicMs();
  await runBurst(site, BURST_MS, 1_000, {}, 'dc0');
  const starts = others.map((id) => site.record.runsOf(`${id}.0.0.0`)[0]?.startedMs ?? Infinity);
  t.true(Math.max(...starts) - putMs <= MAX_OTHER_SHARE_DELAY_MS, starts.join(' '));
});

// Guards against long-running and late tasks that no ticket is requested for in passes that are cut short.
[{ longRunning: true }, {}].forEach((kind) => {
  test(`should request a ticket for a ${kind.longRunning ? 'long-running' : 'late'} task while passes are cut short`, async (t) => {
    const site = await makeBulkSite({ allows: () => true });
    const queue = {
      ...(kind.longRunning ? urgent : hopeless),
      policy: { decisionMs: 100, perWorkerMs: 0 },
    };
    site.configure([site.queue, queue, bulk]);
    await site.run(200);
    await runBurst(site, 1_000);
    put(site, queue, [URGENT_ID], makeJob(makeStep(kind)));
    const putMs = site.clock.monotonicMs();
    await runBurst(site, BURST_MS, 1_000);
    const [run] = site.record.runsOf(`${URGENT_ID}.0.0.0`);
    t.true((run?.startedMs ?? Infinity) - putMs <= MAX_START_DELAY_MS);
  });
});

// Guards against tasks that are handed to another share although a ticket of their own was requested, and
// would allow workers there.
test('should not delegate long-running tasks that wait for a ticket while passes are cut short', async (t) => {
  const { site } = await makeDividedSite({
    workers: 40,
    milliCores: 64_000,
    startCostMs: 1,
    allows: () => true,
    behave: () => ({ size: SIZE, durationMs: 1_000 }),
  });
  const queue = { ...urgent, policy: { decisionMs: 100, perWorkerMs: 0 } };
  site.configure([site.queue, queue, bulk]);
  await site.run(1_000);
  await runBurst(site, 1_000, 0, {}, 'dc0');
  const ids = Array.from({ length: 4 }, (_, index) => `cccccccccccccc${10 + index}`);
  put(site, queue, ids, makeJob(makeStep({ longRunning: true })), 'dc0');
  await runBurst(site, BURST_MS, 1_000, {}, 'dc0');
  const runs = ids.map((id) => site.record.runsOf(`${id}.0.0.0`)[0]);
  const isHome = (id = ''): boolean => Number(id.slice(1)) % 2 === 0;
  t.deepEqual(
    runs.map((run) => isHome(run?.workerId)),
    ids.map(() => true),
  );
});
