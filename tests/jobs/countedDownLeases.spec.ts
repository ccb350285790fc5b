/**
 * Leases that an owner counts down in the store: who may go by them, and whom they cost work.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { makeJob, makeOwnedSite, makeStep, type JobSite } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Tasks of the job, one for each worker. */
const TASKS = 4;

const { leases: LEASES_KEY } = keysOfShare(WHOLE_SITE_SHARE_ID);

/** Makes a site with two entries whose owner runs one task that lasts on each worker. */
const makeSiteWithLastingTasks = async () => {
  const { site, owner } = await makeOwnedSite({
    workers: TASKS,
    behave: () => ({ size: SIZE, durationMs: 600_000 }),
  });
  const successor = site.start('b');
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep({ count: TASKS, longRunning: true })));
  await site.run(500);
  return { site, owner, successor };
};

/** Counts the tasks that run now. */
const countRunning = (site: JobSite): number =>
  new Set(
    [...site.workers.values()].flatMap((each) => each.activeRuns().map(({ taskId }) => taskId)),
  ).size;

const workersOf = (site: JobSite, dataCentre: number): readonly string[] =>
  [...site.workers.keys()].filter((id) => Number(id.slice(1)) % 2 === dataCentre);

// Guards against a task that runs twice: an owner that is cut off goes by the stored time left of a lease
// although its successor may have reached the worker and extended the lease.
test('should not go by a stored lease once there may be another owner', async (t) => {
  for (let delayMs = 0; delayMs < 200; delayMs += 20) {
    const { site, owner, successor } = await makeSiteWithLastingTasks();
    site.cutFromWorkers(owner.client, workersOf(site, 0));
    site.cutFromWorkers(successor.client, workersOf(site, 0));
    while (!site.data.items.has(LEASES_KEY)) await site.clock.advance(2);
    owner.stop();
    const isWaiting = (): boolean =>
      successor.entry.status().terms.some(({ waitsForFormerOwner }) => waitsForFormerOwner);
    while (!isWaiting()) await site.clock.advance(2);
    await site.clock.advance(delayMs);
    successor.store.isCutOff = true;
    const third = site.start('c', false, 1, 'dc0');
    site.cutFromWorkers(third.client, workersOf(site, 1));
    await site.run(25_000);
    t.deepEqual(site.record.violations, [], `${delayMs} ms`);
  }
});

// Guards against a task that runs twice: an owner that is cut off gives up on workers that its successor
// has reached.
test('should not give up on workers once there may be another owner', async (t) => {
  const { site, owner, successor } = await makeSiteWithLastingTasks();
  site.cutFromWorkers(owner.client, workersOf(site, 1));
  site.cutFromWorkers(successor.client, workersOf(site, 0));
  owner.store.isCutOff = true;
  while (successor.entry.status().terms.length === 0) await site.run(50);
  await site.run(7_500);
  successor.store.isCutOff = true;
  const third = site.start('c', false, 1, 'dc0');
  site.cutFromWorkers(third.client, workersOf(site, 1));
  await site.run(25_000);
  t.deepEqual(site.record.violations, []);
});

// Guards against two writes for each failed poll of a busy worker: the time for which a long poll was
// held counts as silence.
test('should not count down the lease of a worker that fails one poll', async (t) => {
  for (let delayMs = 2_000; delayMs < 3_000; delayMs += 100) {
    const { site } = await makeSiteWithLastingTasks();
    await site.clock.advance(delayMs);
    const from = site.data.revision;
    site.workers.get('w0')?.resetConnections();
    await site.run(3_000);
    t.is(countRunning(site), TASKS);
    const writes = site.data.changes.filter(
      ({ key, revision }) => key === LEASES_KEY && revision > from,
    );
    t.is(writes.length, 0, `${delayMs} ms`);
  }
});

// Guards against runs that end with their lease because a worker was silent for a moment shortly before
// an outage of the store.
test('should go on extending leases of workers that were silent when an outage began', async (t) => {
  const { site, owner } = await makeSiteWithLastingTasks();
  const setCutOff = (isCutOff: boolean): void =>
    site.entries.forEach(({ store }) => Object.assign(store, { isCutOff }));
  await site.run(2_000);
  site.cutFromWorkers(owner.client, ['w0']);
  while (!site.data.items.has(LEASES_KEY)) await site.clock.advance(2);
  setCutOff(true);
  await site.run(300);
  site.healWorkers();
  await site.run(8_000);
  setCutOff(false);
  await site.run(10_000);
  t.is(countRunning(site), TASKS);
  t.is(site.record.runs.length, TASKS);
});
