/**
 * Elections whose answers are lost or come late.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { JobSite, makeJob, makeOwnedSite, makeStep, runUntil } from '../fixtures/jobSite.js';
import type { StoreFault } from '../fixtures/memoryTransactionStore.js';

const ID = '00000000000000a1';
const OWNER_KEY = keysOfShare(WHOLE_SITE_SHARE_ID).owner;

/** Timeout of the commit that elects an owner, in milliseconds. */
const COMMIT_TIMEOUT_MS = 600;

/** Time for the calls of an election that are answered, in milliseconds. */
const ANSWERED_CALLS_MS = 200;

/** Makes a site whose owner dies and whose only other entry loses answers as it is elected. */
const elect = async (...faults: readonly StoreFault[]) => {
  const { site, owner } = await makeOwnedSite({ workers: 2 });
  const successor = site.start('b');
  await site.run(500);
  successor.store.failCommitsUnder(OWNER_KEY, ...faults);
  owner.kill();
  await runUntil(site, () => !site.data.items.has(OWNER_KEY));
  const vacantMs = site.clock.monotonicMs();
  const changesBefore = site.data.changes.length;
  const ownChanges = () =>
    site.data.changes.slice(changesBefore).filter(({ key }) => key === OWNER_KEY);
  return { site, owner, successor, vacantMs, ownChanges };
};

const isOwner = (site: JobSite, name: string): boolean =>
  site.entries.some((each) => each.name === name && each.entry.status().terms.length > 0);

// Guards against an entry that gives away what it has won, so that all candidates begin anew.
test('should serve the term that it has won although the answer is lost', async (t) => {
  const { site, successor, vacantMs, ownChanges } = await elect('answer-lost');
  await runUntil(site, () => isOwner(site, 'b'));
  t.true(site.clock.monotonicMs() - vacantMs <= COMMIT_TIMEOUT_MS + ANSWERED_CALLS_MS);
  t.true(ownChanges().every(({ value }) => value !== undefined));
  t.is(await site.submit(successor, ID, makeJob(makeStep())), 'done');
  await site.run(3_000);
  t.is(await site.state(successor, ID), 'completed');
  t.deepEqual(site.record.violations, []);
});

test('should use the lease that it was granted if the commit is lost', async (t) => {
  const { site, successor, vacantMs } = await elect('silent');
  const grants = successor.store.calls.get('grantLease') ?? 0;
  await runUntil(site, () => isOwner(site, 'b'));
  t.true(site.clock.monotonicMs() - vacantMs <= COMMIT_TIMEOUT_MS + ANSWERED_CALLS_MS);
  t.true((successor.store.calls.get('grantLease') ?? 0) - grants <= 1);
});

// Guards against an owner whose key hangs on a lease that it does not renew.
test('should remain the owner when a lost commit takes effect late', async (t) => {
  const { site, ownChanges } = await elect('late');
  await runUntil(site, () => isOwner(site, 'b'));
  await site.run(8_000);
  t.true(isOwner(site, 'b'));
  t.is(ownChanges().length, 1);
  t.deepEqual(site.record.violations, []);
});

test('should leave the share to a rival that was elected meanwhile', async (t) => {
  const { site } = await elect('silent');
  const rival = site.start('c');
  await site.run(8_000);
  t.true(isOwner(site, 'c'));
  t.false(isOwner(site, 'b'));
  t.is(await site.submit(rival, ID, makeJob(makeStep())), 'done');
  await site.run(3_000);
  t.deepEqual(site.record.violations, []);
});

test('should give the share back if the store does not answer until its lease is used up', async (t) => {
  const { site, ownChanges } = await elect('answer-lost', 'answer-lost', 'answer-lost');
  await runUntil(site, () => isOwner(site, 'b'));
  await site.run(8_000);
  t.true(isOwner(site, 'b'));
  t.true(ownChanges().some(({ value }) => value === undefined));
  t.deepEqual(site.record.violations, []);
});
