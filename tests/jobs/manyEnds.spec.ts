/**
 * Workers list a limited number of run ends in one answer: what an answer leaves out is not lost.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { JobSite, makeJob, makeOwnedSite, makeStep, type SiteEntry } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';

/** Smaller than on the platform, so that few tasks exceed it. */
const MAX_LISTED_ENDS = 5;

const TASKS = 100;

const SITE_OPTIONS = { workers: 2, milliCores: TASKS * 1_000, maxListedEnds: MAX_LISTED_ENDS };

/** Makes all writes of an entry under a prefix fail for a while; each takes over a second. */
const failWrites = ({ store }: SiteEntry, prefix: string, count: number): void =>
  store.failCommitsUnder(prefix, ...Array.from({ length: count }, () => 'silent' as const));

/** Makes a site whose owner is about to end with unread ends of all its tasks, and a second entry. */
const makeSiteWithUnreadEnds = async () => {
  const site = new JobSite(SITE_OPTIONS);
  const owner = site.start('a');
  await site.run(500);
  const successor = site.start('b');
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep({ count: TASKS })));
  await site.run(700);
  failWrites(owner, 'progress/', 100);
  // A worker without ends takes tasks at once.
  site.addWorker('w2');
  await site.run(300);
  owner.kill();
  return { site, successor };
};

// Guards against tasks that run again after they are done: while ends cannot be stored, a worker
// lists only the oldest of them, and the runs that it leaves out were taken for lost.
test('should not run tasks again whose ends a worker does not list yet', async (t) => {
  const { site, owner } = await makeOwnedSite(SITE_OPTIONS);
  await site.submit(owner, ID, makeJob(makeStep({ count: TASKS })));
  await site.run(500);
  failWrites(owner, 'progress/', 8);
  await site.run(30_000);
  t.deepEqual(site.record.violations, []);
  t.is(site.record.runs.length, TASKS);
  t.is(await site.state(owner, ID), 'completed');
});

// Guards against a successor that starts tasks again because the first answer of a worker does not
// list all ends.
test('should start no task as a successor before workers have listed all ends', async (t) => {
  const { site, successor } = await makeSiteWithUnreadEnds();
  await site.run(30_000);
  t.deepEqual(site.record.violations, []);
  t.is(site.record.runs.length, TASKS);
  t.is(await site.state(successor, ID), 'completed');
});

// Guards against a successor that cannot store the listed ends, takes the leases of its workers for
// lapsed although it extends them, and starts tasks again whose ends are still to be listed.
test('should wait for ends beyond the leases of the former owner while a worker answers', async (t) => {
  const { site, successor } = await makeSiteWithUnreadEnds();
  failWrites(successor, keysOfShare(WHOLE_SITE_SHARE_ID).progressPrefix, 15);
  await site.run(40_000);
  t.deepEqual(site.record.violations, []);
  t.is(site.record.runs.length, TASKS);
  t.is(await site.state(successor, ID), 'completed');
});
