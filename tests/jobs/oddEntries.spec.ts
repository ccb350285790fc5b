/**
 * Entries of the directory that another writer has left or spoiled.
 */
import test from 'ava';

import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare, SHARES_PREFIX } from 'samphirenotch/jobs/store/jobKeys.js';

import { JobSite, makeJob, makeOwnedSite, makeStep, type SiteEntry } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Time until a successor has been elected, with a margin, in milliseconds. */
const ELECTION_MS = 4_000;

/** Adds an entry of a worker that nobody answers for. */
const addUnansweredEntry = (site: JobSite, dataCentre: string): void => {
  site.addWorker('w7');
  const worker = site.workers.get('w7');
  if (worker) worker.address = 'elsewhere:1';
  site.registerWorker('w7', { dataCentre });
};
const ODD_ADDRESS = '%zz:80';

// Guards against a worker that is never used again after calls to it threw, although its entry was
// put right.
test('should use a worker again whose calls threw until its entry was put right', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 1 });
  const worker = site.workers.get('w0');
  if (!worker) throw new Error('no worker');
  worker.throwingAddress = ODD_ADDRESS;
  site.registerWorker('w0', { address: ODD_ADDRESS });
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep({ count: 2 })));
  await site.run(3_000);
  t.is(site.record.runs.length, 0);
  site.registerWorker('w0');
  await site.run(6_000);
  t.is(await site.state(owner, ID), 'completed');
  t.deepEqual(site.record.violations, []);
});

// Guards against a follower, and with it a process, that ends because a client cannot be created.
test('should go on with the other workers beside an entry that no client can be created for', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 1 });
  // No worker of this id exists, so the directory of the fixture throws.
  site.registerWorker('w7');
  await site.run(500);
  site.addWorker('w1');
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep({ count: 6 })));
  await site.run(3_000);
  t.is(await site.state(owner, ID), 'completed');
  t.is(new Set(site.record.runs.map(({ workerId }) => workerId)).size, 2);
  t.deepEqual(site.record.violations, []);
});

// Guards against take-overs that are held up for as long as an entry that nobody answers for lies in
// the directory.
test('should start older jobs without waiting for an entry that nobody ever answered for', async (t) => {
  for (const dataCentre of ['dc0', 'unknown']) {
    const { site, owner } = await makeOwnedSite({ workers: 2 });
    addUnansweredEntry(site, dataCentre);
    const successor = site.start('b');
    await site.run(2_000);
    owner.kill();
    // Accepted before the successor is elected, so the former owner might have started it.
    t.is(await site.submit(successor, ID, makeJob(makeStep({ count: 4 }))), 'done');
    await site.run(ELECTION_MS);
    t.is(site.record.runs.length, 4, dataCentre);
    t.deepEqual(site.record.violations, []);
  }
});

// Guards against a roster that an entry of another writer can fill.
test('should store no worker for its successor that has not accepted its fencing token', async (t) => {
  const { site } = await makeOwnedSite({ workers: 2 });
  addUnansweredEntry(site, 'dc0');
  site.addWorker('w2');
  await site.run(1_000);
  const roster = site.data.items.get(keysOfShare(WHOLE_SITE_SHARE_ID).roster)?.value ?? '[]';
  const ids = (JSON.parse(roster) as { id: string }[]).map(({ id }) => id);
  t.deepEqual(ids.sort(), ['w0', 'w1', 'w2']);
});

// Guards against a task that runs twice: on a worker that joined shortly before its owner was lost,
// and wherever a successor that cannot reach this worker starts it.
test('should wait for a worker that joined and was given work just before a take-over', async (t) => {
  let runsOnNewWorker = 0;
  for (let delayMs = 0; delayMs <= 400; delayMs += 20) {
    const { site, owner } = await makeOwnedSite({
      workers: 1,
      milliCores: 1_000,
      behave: () => ({ size: SIZE, durationMs: 4_000 }),
    });
    const successor = site.start('b');
    await site.run(500);
    await site.submit(owner, ID, makeJob(makeStep({ count: 2 })));
    site.addWorker('w1');
    await site.clock.advance(delayMs);
    site.cutFromWorkers(successor.client, ['w1']);
    owner.kill();
    await site.run(30_000);
    runsOnNewWorker += site.record.runs.filter(({ workerId }) => workerId === 'w1').length;
    t.deepEqual(site.record.violations, [], `${delayMs} ms`);
    t.is(await site.state(successor, ID), 'completed', `${delayMs} ms`);
  }
  t.true(runsOnNewWorker > 0);
});

// Guards against a roster without a worker of a former owner that the new owner has not reached, when
// a second take-over follows the first.
test('should keep waiting for a worker of the former owner through a second take-over', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 3,
    behave: () => ({ size: SIZE, durationMs: 30_000 }),
  });
  const second = site.start('b');
  const third = site.start('c');
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep({ count: 6 })));
  await site.run(500);
  [second, third].forEach(({ client }) => site.cutFromWorkers(client, ['w1']));
  const next = (): SiteEntry | undefined =>
    [second, third].find(({ entry }) => entry.status().terms.length > 0);
  owner.stop();
  await site.run(1_000);
  const elected = next();
  t.truthy(elected);
  elected?.stop();
  await site.run(1_000);
  t.truthy(next());
  t.not(next(), elected);
  await site.run(20_000);
  t.deepEqual(site.record.violations, []);
  // The tasks of the lost worker run again once its leases have lapsed.
  const active = site.record.runs.filter(({ endedMs }) => endedMs === undefined);
  t.is(active.length, 6);
  t.true(active.every(({ workerId }) => workerId !== 'w1'));
});

// Guards against followers and processes that end because a single item cannot be read, before or
// while they follow.
test('should follow the other items beside one that cannot be read', async (t) => {
  // The codec of the fixture throws on text that is not JSON.
  const site = new JobSite({ workers: 1 });
  const spoil = (suffix: string): void => {
    site.data.put(`workers/${suffix}`, 'no JSON');
    site.data.put(`operator/${suffix}`, 'no JSON');
    site.data.put(`${SHARES_PREFIX}${suffix}/owner`, 'x x 1 %zz');
  };
  spoil('a-before');
  const owner = site.start('a');
  await site.run(500);
  spoil('while');
  await site.run(500);
  site.addWorker('w1');
  site.configure([{ ...site.queue, priority: 2 }]);
  await site.run(500);
  t.is(await site.submit(owner, ID, makeJob(makeStep({ count: 6 }))), 'done');
  await site.run(3_000);
  t.is(await site.state(owner, ID), 'completed');
  t.is(new Set(site.record.runs.map(({ workerId }) => workerId)).size, 2);
  t.is(owner.entry.status().configurationVersion, 2);
  t.deepEqual(site.record.violations, []);
});

// Guards against entries that end at each take-over of a share whose roster cannot be read, and
// against tasks that run twice because their workers are not known.
test('should take over beside a roster that cannot be read, and start nothing that may still run', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 2,
    behave: () => ({ size: SIZE, durationMs: 12_000 }),
  });
  const successor = site.start('b');
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep({ count: 4 })));
  await site.run(500);
  site.cutFromWorkers(successor.client, ['w1']);
  owner.kill();
  site.data.put(keysOfShare(WHOLE_SITE_SHARE_ID).roster, '[{"id":5}]');
  await site.run(40_000);
  t.deepEqual(site.record.violations, []);
  t.is(await site.state(successor, ID), 'completed');
});
