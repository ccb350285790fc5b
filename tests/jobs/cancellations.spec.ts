/**
 * Guarantees for jobs after their cancellation was acknowledged.
 */
import test from 'ava';
import { ACCEPTED_PREFIX, CANCELLED_PREFIX } from 'samphirenotch/jobs/store/jobKeys.js';

import { makeDividedSite, makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';

/** The platform's time limit for starts after an acknowledged cancellation, in milliseconds. */
const CANCEL_BOUND_MS = 4_000;

/** Time for which the platform requires the state of a job after its end, in milliseconds. */
const KEPT_MS = 120_000;

/** Time after which nothing may be left of it, in milliseconds. */
const REMOVED_AFTER_MS = 240_000;

// Guards against an owner that keeps starting tasks of a cancelled job: its watch on jobs gets no
// answer, so it does not receive the cancellation that another entry has stored.
test('should start no task of a cancelled job while the watch on jobs is not answered', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 1, milliCores: 1_000 });
  const other = site.start('b');
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep({ count: 20 })));
  await site.run(500);
  owner.store.isDeaf = true;
  t.is(await site.cancel(other, ID), 'done');
  const cancelledMs = site.clock.monotonicMs();
  await site.run(12_000);
  const late = site.record.runs
    .map(({ startedMs }) => startedMs - cancelledMs)
    .filter((afterMs) => afterMs > CANCEL_BOUND_MS);
  t.deepEqual(late, []);
});

/** Makes a site whose owner is idle, and a job whose hand-in another entry has left in doubt. */
const makeSiteWithHandInInDoubt = async () => {
  const { site, owner } = await makeOwnedSite();
  const other = site.start('b');
  await site.run(500);
  other.store.failCommitsUnder(ACCEPTED_PREFIX, 'late', 'late', 'late', 'late');
  const handIn = await site.submit(other, ID, makeJob(makeStep({ count: 3 })));
  return { site, owner, other, handIn };
};

// Guards against a job that runs although its caller has cancelled it: its hand-in got no answer and
// is stored after the cancelling was acknowledged.
test('should not run a job whose hand-in is stored after its cancelling was acknowledged', async (t) => {
  const { site, owner, other, handIn } = await makeSiteWithHandInInDoubt();
  t.is(handIn, 'unknown');
  t.is(await site.cancel(owner, ID), 'not-found');
  await site.run(12_000);
  t.true(site.data.items.has(ACCEPTED_PREFIX + ID));
  t.deepEqual(site.record.runs, []);
  t.is(await site.state(owner, ID), 'cancelled');
  t.is(await site.state(other, ID), 'cancelled');
});

// Guards against the same job being run by an owner that is elected meanwhile.
test('should not run such a job after a change of the owner', async (t) => {
  const { site, owner, other } = await makeSiteWithHandInInDoubt();
  t.is(await site.cancel(owner, ID), 'not-found');
  owner.kill();
  await site.run(15_000);
  t.true(site.data.items.has(ACCEPTED_PREFIX + ID));
  t.deepEqual(site.record.runs, []);
  t.is(await site.state(other, ID), 'cancelled');
});

// Guards against a cancelled job that runs because its hand-in is sent again at another entry.
test('should not run a job that is handed in again after its cancelling', async (t) => {
  const { site, owner, other } = await makeSiteWithHandInInDoubt();
  t.is(await site.cancel(owner, ID), 'not-found');
  t.is(await site.submit(other, ID, makeJob(makeStep({ count: 3 }))), 'done');
  await site.run(12_000);
  t.deepEqual(site.record.runs, []);
  t.is(await site.state(owner, ID), 'cancelled');
});

// Guards against a job that is shown although nobody has submitted it, because it was cancelled.
test('should show no job that was cancelled and never submitted', async (t) => {
  const { site, owner } = await makeOwnedSite();
  t.is(await site.cancel(owner, ID), 'not-found');
  t.is(await site.state(owner, ID), 'not-found');
  t.is(await site.cancel(owner, ID), 'not-found');
  await site.run(1_000);
  t.is(await site.state(owner, ID), 'not-found');
  t.is(owner.entry.callerApi.queries.countWaiting('runs'), 0);
});

// Guards against a store that fills up with cancellations of jobs that were never submitted.
test('should remove cancellations of jobs that were never submitted', async (t) => {
  const { site, owners } = await makeDividedSite();
  const ids = ['00000000000000a1', '00000000000000a2', '00000000000000a3'];
  for (const id of ids) await site.cancel(owners[0], id);
  const stored = () =>
    [...site.data.items.keys()].filter((key) => key.startsWith(CANCELLED_PREFIX));
  t.is(stored().length, ids.length);
  await site.run(KEPT_MS);
  t.is(stored().length, ids.length);
  await site.run(REMOVED_AFTER_MS - KEPT_MS);
  t.deepEqual(stored(), []);
});

// Guards against a cancelled job that is shown as queued by an entry that has read its cancellation
// but not its hand-in.
test('should show a job as cancelled at an entry that has not read its late hand-in', async (t) => {
  const { site, owner, other } = await makeSiteWithHandInInDoubt();
  t.is(await site.cancel(owner, ID), 'not-found');
  t.is(await site.state(other, ID), 'not-found');
  other.store.isDeaf = true;
  await site.run(4_000);
  t.true(site.data.items.has(ACCEPTED_PREFIX + ID));
  t.is(await site.state(other, ID), 'cancelled');
});
