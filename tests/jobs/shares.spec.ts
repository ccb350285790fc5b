/**
 * Division of a site into shares, and the election of their owners.
 */
import test from 'ava';
import { planShares } from 'samphirenotch/jobs/model/layoutPlan.js';
import { ShareLayout, WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { LAYOUT_KEY } from 'samphirenotch/jobs/store/jobKeys.js';

import {
  JobSite,
  makeDividedSite,
  makeJob,
  makeOwnedSite,
  makeStep,
  type SiteEntry,
} from '../fixtures/jobSite.js';

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

const idOf = (at: number): string => at.toString(16).padStart(16, '0');

const behaveFor = (durationMs: number) => () => ({ size: SIZE, durationMs });

const ownedBy = ({ entry }: SiteEntry): readonly string[] =>
  entry.status().terms.map(({ share }) => share);

test('should let one entry own a small site, and divide one that it cannot carry', (t) => {
  const small = {
    workers: new Map([
      ['dc0', 20],
      ['dc1', 12],
    ]),
    processorShare: 0.27,
  };
  t.deepEqual(
    planShares(small).shares.map(({ id }) => id),
    [WHOLE_SITE_SHARE_ID],
  );
  const large = {
    workers: new Map([
      ['dc1', 60],
      ['dc0', 63],
    ]),
    processorShare: 0.4,
  };
  t.deepEqual(
    planShares(large).shares.map(({ id }) => id),
    ['dc0', 'dc1'],
  );
});

// Guards against a share without workers that every entry has to own, and a home of jobs that nobody
// can run: one wrong entry of a worker when the site is divided.
test('should plan no share for a data centre that the site does not have', (t) => {
  const workers = new Map([
    ['dc1', 60],
    ['dc0', 63],
    ['odd', 1],
  ]);
  const dataCentres = new Set(['dc0', 'dc1']);
  const layout = planShares({ workers, dataCentres, processorShare: 0.4 });
  t.deepEqual(
    layout.shares.map(({ id }) => id),
    ['dc0', 'dc1'],
  );
  t.is(layout.shareOfWorker({ id: 'w0', dataCentre: 'odd', labels: [] }).id, 'dc0');
  t.is(
    planShares({ workers: new Map([['odd', 900]]), dataCentres, processorShare: 0.4 }).shares
      .length,
    1,
  );
});

// Guards against needless shares: their owners have to exchange through the store what one owner
// knows.
test('should not divide a site that its fastest entries can carry', (t) => {
  const workers = new Map(['dc0', 'dc1', 'dc2', 'dc3'].map((name) => [name, 86] as const));
  t.is(planShares({ workers, processorShare: 1.35 }).shares.length, 1);
});

test('should divide a data centre that one entry cannot carry, and keep racks together', (t) => {
  const workers = new Map([['dc0', 1_500]]);
  const layout = planShares({ workers, processorShare: 1.35 });
  t.is(layout.shares.length, 5);
  t.deepEqual(new Set(layout.shares.map(({ dataCentres }) => dataCentres[0])), new Set(['dc0']));
  const shareOf = (at: number): string =>
    layout.shareOfWorker({
      id: `w${at}`,
      dataCentre: 'dc0',
      labels: ['a', `r${Math.floor(at / 20)}`],
    }).id;
  t.is(new Set(Array.from({ length: 20 }, (_, at) => shareOf(at))).size, 1);
  const sizes = new Map<string, number>();
  for (let at = 0; at < 1_500; at += 1) sizes.set(shareOf(at), (sizes.get(shareOf(at)) ?? 0) + 1);
  t.is(sizes.size, 5);
  t.true(Math.max(...sizes.values()) < 2 * (1_500 / 5));
  const decoded = ShareLayout.decode(layout.encode());
  t.is(decoded.shareOfWorker({ id: 'w0', dataCentre: 'dc0', labels: ['r3'] }).id, shareOf(60));
  t.is(
    decoded.shareOfWorker({ id: 'w0', dataCentre: 'elsewhere', labels: [] }).id,
    decoded.shares[0].id,
  );
});

test('should plan a site only once', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 2 });
  t.is(site.data.items.get(LAYOUT_KEY)?.value, ShareLayout.undivided().encode());
  const other = site.start('b', false, 0.000_1);
  await site.run(2_000);
  t.is(site.data.items.get(LAYOUT_KEY)?.value, ShareLayout.undivided().encode());
  t.deepEqual(ownedBy(owner), [WHOLE_SITE_SHARE_ID]);
  t.deepEqual(ownedBy(other), []);
});

// Guards against a plan based on the few workers that registered first.
test('should plan a site once no more workers register', async (t) => {
  const site = new JobSite({ workers: 0, dataCentres: 4, layoutSettleMs: 1_500 });
  ['a', 'b', 'c'].forEach((name) => site.start(name, false, 0.1));
  for (let at = 0; at < 40; at += 1) {
    await site.run(100);
    site.addWorker(`w${at}`);
  }
  t.false(site.data.items.has(LAYOUT_KEY));
  await site.run(6_000);
  const layout = ShareLayout.decode(site.data.items.get(LAYOUT_KEY)?.value ?? '');
  t.is(layout.shares.length, 4);
});

// Guards against a site that is divided by the speed of a slow VM because its entry planned first.
test('should plan a site by what its fastest entry can carry', async (t) => {
  const site = new JobSite({ workers: 60, dataCentres: 4, layoutSettleMs: 1_500 });
  for (let at = 0; at < 12; at += 1) site.start(`slow-${at}`, false, 0.1);
  const fast = site.start('fast', false, 1);
  while (!site.data.items.has(LAYOUT_KEY)) await site.run(100);
  t.is(site.data.items.get(LAYOUT_KEY)?.value, ShareLayout.undivided().encode());
  // Guards against a planner that sees its own plan later than the entries that only wait for it.
  await site.run(1_000);
  t.deepEqual(ownedBy(fast), [WHOLE_SITE_SHARE_ID]);
});

// Guards against a share that stays on a slow VM, elected when no other entry could reach the
// store.
test('should move a share to an entry on a much faster VM, and only once', async (t) => {
  const site = new JobSite({ workers: 2 });
  const slow = site.start('slow', false, 0.1);
  await site.run(2_000);
  t.deepEqual(ownedBy(slow), [WHOLE_SITE_SHARE_ID]);
  const fast = site.start('fast', false, 1);
  const other = site.start('other', false, 1);
  await site.run(10_000);
  const tokens = (): readonly number[] =>
    [slow, fast, other].flatMap(({ entry }) =>
      entry.status().terms.map(({ fencingToken }) => fencingToken),
    );
  const moved = tokens();
  t.deepEqual(ownedBy(slow), []);
  t.is(moved.length, 1);
  await site.run(10_000);
  t.deepEqual(tokens(), moved);
});

test('should give each share to an entry of its own data centre', async (t) => {
  const { owners } = await makeDividedSite({ workers: 4 });
  t.deepEqual(owners.map(ownedBy), [['dc0'], ['dc1']]);
});

test('should spread jobs over shares and run each in its home', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 4, behave: behaveFor(2_000) });
  for (let at = 0; at < 8; at += 1) {
    await site.submit(owners[0], idOf(at), makeJob(makeStep({ count: 1 })));
    await site.run(300);
  }
  await site.run(3_000);
  const used = new Set(site.record.runs.map(({ workerId }) => Number(workerId.slice(1)) % 2));
  t.is(used.size, 2);
  t.deepEqual(site.record.violations, []);
  for (let at = 0; at < 8; at += 1) t.is(await site.state(owners[1], idOf(at)), 'completed');
});

test('should start tasks of a share without delay while the owner of another share is replaced', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 4, behave: behaveFor(300) });
  owners[0].kill();
  const fromMs = site.clock.monotonicMs();
  for (let at = 0; at < 20; at += 1) {
    site.putJobs([idOf(at)], makeJob(makeStep()), 'dc1');
    await site.run(200);
  }
  const starts = site.record.runs.map(({ startedMs }) => startedMs - fromMs);
  t.is(starts.length, 20);
  starts.forEach((startMs, at) => t.true(startMs - at * 200 < 150, `job ${at} at ${startMs} ms`));
});

test('should own both shares when one entry is left, and finish the jobs of the other one', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 4, behave: behaveFor(3_000) });
  site.putJobs([idOf(1)], makeJob(makeStep({ count: 3 }), makeStep({ after: [0] })), 'dc0');
  await site.run(1_000);
  owners[0].kill();
  await site.run(9_000);
  t.deepEqual([...ownedBy(owners[1])].sort(), ['dc0', 'dc1']);
  t.is(await site.state(owners[1], idOf(1)), 'completed');
  t.is(site.record.runs.length, 4);
  t.deepEqual(site.record.violations, []);
});

test('should number runs above those of every former owner of any share', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 2, behave: behaveFor(30_000) });
  site.putJobs([idOf(1)], makeJob(makeStep({ longRunning: true })), 'dc0');
  await site.run(500);
  owners[0].kill();
  await site.run(4_000);
  site.workers.get('w0')?.restart();
  await site.run(4_000);
  const [first, second] = site.record.runsOf(`${idOf(1)}.0.0.0`);
  t.true((second?.run ?? 0) > (first?.run ?? Infinity));
  t.deepEqual(site.record.violations, []);
});

test('should assign a home to jobs that were accepted before the shares were known', async (t) => {
  const site = new JobSite({ workers: 2, isDivided: true, behave: behaveFor(200) });
  const ids = [1, 2, 3, 4].map(idOf);
  site.putJobs(ids, makeJob(makeStep()), '');
  const owner = site.start('a');
  await site.run(4_000);
  for (const id of ids) t.is(await site.state(owner, id), 'completed');
});

test('should hand a share back to an entry of its own data centre', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 4, behave: behaveFor(400) });
  owners[0].kill();
  await site.run(6_000);
  t.deepEqual([...ownedBy(owners[1])].sort(), ['dc0', 'dc1']);
  const returned = site.start('c', false, 1, 'dc0');
  for (let at = 0; at < 40; at += 1) {
    site.putJobs([idOf(at)], makeJob(makeStep()), at % 2 === 0 ? 'dc0' : 'dc1');
    await site.run(200);
  }
  t.deepEqual(ownedBy(returned), ['dc0']);
  t.deepEqual(ownedBy(owners[1]), ['dc1']);
  await site.run(2_000);
  for (let at = 0; at < 40; at += 1) t.is(await site.state(returned, idOf(at)), 'completed');
  t.is(site.record.runs.length, 40);
  t.deepEqual(site.record.violations, []);
});

test('should not move a share back and forth between data centres', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 4 });
  owners[0].kill();
  await site.run(6_000);
  ['c', 'd', 'e'].forEach((name) => site.start(name, false, 1, 'dc0'));
  await site.run(6_000);
  const before = site.data.changes.filter(({ key }) => key.endsWith('/owner')).length;
  await site.run(20_000);
  t.is(site.data.changes.filter(({ key }) => key.endsWith('/owner')).length, before);
});
