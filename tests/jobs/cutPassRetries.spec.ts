/**
 * Tasks that a pass cut short does not reach, behind others that fit nowhere or wait for tickets.
 */
import test from 'ava';

import {
  BURST_MS,
  SIZE,
  bulk,
  hopeless,
  makeBulkSite,
  put,
  runBurst,
  urgent,
} from '../fixtures/bulkSite.js';
import { makeDividedSite, makeJob, makeStep, type JobSite } from '../fixtures/jobSite.js';

const URGENT_ID = 'ffffffffffffffff';

/** Time within which an urgent task must start where there is room, in milliseconds. */
const MAX_START_DELAY_MS = 1_000;

/** Time within which a task must start where only another share has room, in milliseconds. */
const MAX_OTHER_SHARE_DELAY_MS = 3_000;

/** Makes a divided site: the passes of one share are cut short, one worker of the other has a label. */
const makeBusyHome = async (): Promise<JobSite> => {
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
  return site;
};

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
  const site = await makeBusyHome();
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
  const site = await makeBusyHome();
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
