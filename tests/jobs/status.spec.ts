/**
 * The status and explanations that operators can query at a running site.
 */
import test from 'ava';

import { makeDividedSite, makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const OTHER_ID = '00000000000000a2';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

const longTasks = () => ({ size: SIZE, durationMs: 60_000 });

test('should report owners, the configuration in force and the state of workers', async (t) => {
  const { site, owner } = await makeOwnedSite({ behave: longTasks });
  const other = site.start('b');
  await site.submit(owner, ID, makeJob(makeStep({ count: 3 })));
  await site.run(2_000);
  owner.entry.status();
  await site.run(100);
  const { terms, workers, ...status } = owner.entry.status();
  t.like(status, { entry: 'a', isReady: true, configurationVersion: 1, jobsOpen: 1 });
  t.like(status.shares[0], { share: 'site', owner: 'a', jobsOpen: 1, capacityMilliCores: 8_000 });
  t.deepEqual(status.queues, [{ queue: 'runs', waiting: 0 }]);
  t.true((status.storeAgeMs ?? Infinity) < 2_000);
  t.like(terms[0], { share: 'site', isCertain: true });
  t.is(workers.length, 2);
  t.is(
    workers.reduce((sum, { runs }) => sum + runs, 0),
    3,
  );
  t.like(other.entry.status(), { entry: 'b', terms: [] });
  t.like(other.entry.status().shares[0], { owner: 'a', ownerDataCentre: 'dc0' });
});

test('should explain where tasks run and what waiting tasks wait for', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    milliCores: 2_000,
    behave: longTasks,
  });
  const steps = [makeStep({ count: 3 }), makeStep({ after: [0] })];
  await site.submit(owner, ID, makeJob(...steps));
  await site.submit(owner, OTHER_ID, makeJob(makeStep({ requiredLabel: 'none' })));
  await site.run(1_000);
  const explained = owner.entry.explain(ID);
  t.like(explained, { jobId: ID, queue: 'runs', isBegun: true });
  t.like(explained?.steps[0], {
    tasks: 3,
    running: 2,
    workers: ['w0'],
    waitsFor: 'room on a worker',
  });
  t.like(explained?.steps[1], { running: 0, waitsFor: 'the steps before it' });
  site.registerWorker('w0', { phase: 'draining', remainingMs: 60_000 });
  await site.run(600);
  t.is(
    owner.entry.explain(OTHER_ID)?.steps[0]?.waitsFor,
    'a worker of its service that takes work',
  );
});

test('should explain where the tasks are that the home of a job has delegated', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 2, behave: longTasks });
  site.putJobs([ID], makeJob(makeStep({ count: 6 })), 'dc0');
  await site.run(1_000);
  const [home, other] = owners.map(({ entry }) => entry);
  t.like(home?.status().terms[0], { share: 'dc0', delegationsAway: 1, delegationsTaken: 0 });
  t.like(other?.status().terms[0], { share: 'dc1', delegationsAway: 0, delegationsTaken: 1 });
  const explained = home?.explain(ID);
  t.like(explained, { share: 'dc0', home: 'dc0', steps: [{ running: 4, away: 2 }] });
  t.like(explained?.delegations, [{ to: 'dc1', step: 0, tasks: 2 }]);
  t.like(other?.explain(ID), { share: 'dc1', home: 'dc0', delegations: [] });
  t.deepEqual(other?.homeOf(ID), { share: 'dc0', owner: 'a' });
});

test('should not explain jobs at an entry that does not own them', async (t) => {
  const { site, owner } = await makeOwnedSite({ behave: longTasks });
  const other = site.start('b');
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(1_000);
  t.is(other.entry.explain(ID), undefined);
  t.is(owner.entry.explain('00000000000000ff'), undefined);
});
