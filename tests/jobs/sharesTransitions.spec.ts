/**
 * Changes of owners while tasks are delegated; each test forces one interleaving.
 */
import test from 'ava';
import { ShareLayout } from 'samphirenotch/jobs/model/shareLayout.js';
import {
  CANCELLED_PREFIX,
  ENDED_PREFIX,
  keysOfShare,
  LAYOUT_KEY,
  SHARED_PREFIX,
} from 'samphirenotch/jobs/store/jobKeys.js';

import {
  JobSite,
  makeDividedSite,
  makeJob,
  makeStep,
  ownerOf,
  runUntil,
  type SiteEntry,
} from '../fixtures/jobSite.js';
import { revokeLease } from '../fixtures/revokedLease.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

const behaveFor = (durationMs: number) => () => ({ size: SIZE, durationMs });

const ownedBy = ({ entry }: SiteEntry): readonly string[] =>
  entry
    .status()
    .terms.map(({ share }) => share)
    .sort();

const exchangeKeys = (site: JobSite): readonly string[] =>
  [...site.data.items.keys()].filter((key) => /^exchange\/|\/away\//u.test(key));

/** Returns the revision of the newest item whose key has the prefix; 0 if there is none. */
const revisionOf = (site: JobSite, prefix: string): number =>
  Math.max(
    0,
    ...[...site.data.items.values()]
      .filter(({ key }) => key.startsWith(prefix))
      .map(({ revision }) => revision),
  );

/** Writes a delegation of one task to the inbox of the other share, without the home knowing it. */
const putDelegation = (site: JobSite): void => {
  const delegation = { j: ID, n: '1-1', h: 'dc0', t: 'dc1', k: 0, s: 0, r: [[1, 1, [], '']] };
  site.data.put(
    `${keysOfShare('dc1').receivedDelegationsPrefix}${ID}/1-1`,
    JSON.stringify(delegation),
  );
};

// Guards against an old delegation that looks new: a successor of the home writes it again, so that
// its revision is higher than the election of the other share's owner.
test('should wait for runs of a former owner when an old delegation is written again', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 4, behave: behaveFor(20_000) });
  const [home, guest] = owners;
  site.putJobs([ID], makeJob(makeStep({ count: 9 })), 'dc0');
  await site.run(1_000);
  const [away] = site.record.runs.filter(({ workerId }) => ['w1', 'w3'].includes(workerId));
  const guestSuccessor = site.start('c', false, 1, 'dc1');
  site.start('d', false, 1, 'dc0');
  await site.run(200);
  site.cutFromWorkers(guestSuccessor.client, [away?.workerId ?? '']);
  const { inboxPrefix, receivedDelegationsPrefix: delegatedPrefix } = keysOfShare('dc1');
  guestSuccessor.store.unlisted.add(inboxPrefix);
  guest.kill();
  home.kill();
  await runUntil(site, () => ownerOf(site, 'dc1') === 'c' && ownerOf(site, 'dc0') === 'd');
  const electedAt = revisionOf(site, keysOfShare('dc1').owner);
  await runUntil(site, () => revisionOf(site, delegatedPrefix) > electedAt);
  guestSuccessor.store.unlisted.clear();
  await site.run(45_000);
  t.deepEqual(site.record.violations, []);
  t.is(await site.state(guestSuccessor, ID), 'completed');
});

// Guards against a task started twice: the store has revoked the lease, but its answer is lost.
test('should start no delegated task after the lease may have been revoked', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 4, behave: behaveFor(2_000) });
  const [, former] = owners;
  const successor = site.start('c', false, 1, 'dc1');
  site.putJobs([ID], makeJob(makeStep(), makeStep({ after: [0] })), 'dc0');
  await site.run(1_200);
  site.data.put('operator/evacuate/dc0', '');
  // The former owner sees delegations, but nothing that shows that it has a successor.
  former.store.unwatched.add(SHARED_PREFIX);
  former.store.unansweredLeaseCalls.add('revokeLease').add('renewLease');
  site.cutFromWorkers(former.client, ['w3']);
  site.cutFromWorkers(successor.client, ['w1']);
  former.stop();
  await site.run(4_000);
  t.deepEqual(ownedBy(successor), ['dc1']);
  t.is(site.record.runsOf(`${ID}.0.1.0`).length, 1);
  t.deepEqual(site.record.violations, []);
});

test('should not plan a site whose workers have not registered yet', async (t) => {
  const site = new JobSite({ workers: 0, dataCentres: 4, layoutSettleMs: 300 });
  ['a', 'b', 'c'].forEach((name) => site.start(name, false, 0.1));
  await site.run(5_000);
  t.false(site.data.items.has(LAYOUT_KEY));
  for (let at = 0; at < 40; at += 1) {
    if (at % 4 === 0) await site.run(50);
    site.addWorker(`w${at}`);
  }
  await site.run(2_000);
  const layout = ShareLayout.decode(site.data.items.get(LAYOUT_KEY)?.value ?? '');
  t.is(layout.shares.length, 4);
});

test('should swap two shares whose owners are in the data centre of the other one', async (t) => {
  const site = new JobSite({ workers: 4, isDivided: true, behave: behaveFor(300) });
  const second = site.start('b', false, 1, 'dc1');
  await site.run(4_000);
  t.deepEqual(ownedBy(second), ['dc0', 'dc1']);
  const first = site.start('a', false, 1, 'dc0');
  await site.run(300);
  revokeLease(site, 'dc1');
  await site.run(1_000);
  t.deepEqual([ownedBy(first), ownedBy(second)], [['dc1'], ['dc0']]);
  await site.run(20_000);
  t.deepEqual([ownedBy(first), ownedBy(second)], [['dc0'], ['dc1']]);
});

// Guards against keys that stay because the home ended after it had removed only some of a
// delegation.
test('should remove a delegation that its home no longer knows', async (t) => {
  const site = new JobSite({ workers: 4, isDivided: true, behave: behaveFor(60_000) });
  site.putJobs([ID], makeJob(makeStep({ count: 2 })), 'dc0');
  site.data.put(CANCELLED_PREFIX + ID, '1');
  putDelegation(site);
  site.start('b', false, 1, 'dc1');
  await site.run(1_000);
  site.start('a', false, 1, 'dc0');
  await site.run(8_000);
  t.deepEqual(exchangeKeys(site), []);
  t.deepEqual(site.record.runs, []);
});

test('should start no delegated task of a job that has failed', async (t) => {
  const site = new JobSite({ workers: 4, isDivided: true, behave: behaveFor(60_000) });
  site.putJobs([ID], makeJob(makeStep({ count: 2 })), 'dc0');
  site.data.put(ENDED_PREFIX + ID, 'failed');
  putDelegation(site);
  site.start('b', false, 1, 'dc1');
  await site.run(2_000);
  t.deepEqual(site.record.runs, []);
});

test('should fail a job whose last failure was stored but whose end was not', async (t) => {
  const site = new JobSite({ workers: 2, behave: behaveFor(300) });
  site.putJobs([ID], makeJob(makeStep({ count: 2 })));
  const progress = { o: [{ k: 0, s: [{ d: [], f: { 1: [1, 2, 3] } }] }] };
  site.data.put(`${keysOfShare('site').progressPrefix}${ID}`, JSON.stringify(progress));
  const owner = site.start('a');
  await site.run(3_000);
  t.is(await site.state(owner, ID), 'failed');
  t.deepEqual(site.record.runsOf(`${ID}.0.0.1`), []);
});

test('should not delegate tasks that only wait for a policy decision about workers', async (t) => {
  const { site, owners } = await makeDividedSite({
    workers: 4,
    behave: behaveFor(300),
    allows: () => true,
    decisionMs: 600,
  });
  site.putJobs([ID], makeJob(makeStep()), 'dc0');
  await site.run(3_000);
  t.is(await site.state(owners[0], ID), 'completed');
  t.is(site.data.changes.filter(({ key }) => key.startsWith('exchange/')).length, 0);
});

test('should keep delegated tasks while a new owner connects to its workers', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 4, behave: behaveFor(2_000) });
  const successor = site.start('c', false, 1, 'dc1');
  await site.run(500);
  owners[1].kill();
  await runUntil(site, () => ownerOf(site, 'dc1') === 'c');
  site.cutFromWorkers(successor.client, ['w1', 'w3']);
  site.putJobs([ID], makeJob(makeStep({ count: 9 })), 'dc0');
  await runUntil(site, () => exchangeKeys(site).length > 0);
  site.healWorkers();
  await site.run(1_000);
  t.is(site.record.runs.length, 9);
});
