/**
 * Owners whose successor is elected while they still take over.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import {
  JobSite,
  makeJob,
  makeStep,
  ownerOf,
  runUntil,
  type SiteEntry,
} from '../fixtures/jobSite.js';
import { isOwner } from '../fixtures/ownerIsland.js';
import { revokeLease } from '../fixtures/revokedLease.js';

const KEYS = keysOfShare(WHOLE_SITE_SHARE_ID);

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Most calls of a test that can be lost. */
const MANY = 1_000;

/** Tells whether an entry has a term without having read what its former owner left. */
const isTakingOver = ({ entry }: SiteEntry): boolean =>
  entry.status().terms.some(({ waitsForFormerOwner }) => !waitsForFormerOwner);

/** Makes nothing that the entry writes arrive in the store; it goes on reading. */
const loseWrites = ({ store }: SiteEntry): void => {
  store.unansweredLeaseCalls.add('renewLease');
  store.failCommits(...Array.from({ length: MANY }, () => 'silent' as const));
};

// Guards against an owner that goes on beside its successor: it read of the successor before it listened
// to changes of the owner, and was not told again.
test('should end a term whose share has gone to another entry during the takeover', async (t) => {
  const site = new JobSite();
  const former = site.start('a');
  former.store.unlisted.add(KEYS.ownerPrefix);
  await site.run(500);
  t.is(ownerOf(site), 'a');
  t.is(site.data.items.has(KEYS.journal), true);
  loseWrites(former);
  revokeLease(site);
  site.cutFromWorkers(former.client, [...site.workers.keys()]);
  site.start('b');
  await site.run(1_000);
  t.is(ownerOf(site), 'b');
  former.store.unlisted.delete(KEYS.ownerPrefix);
  while (isTakingOver(former)) await site.clock.advance(2);
  former.store.isCutOff = true;
  await site.run(2_000);
  t.deepEqual(former.entry.status().terms, []);
});

// Guards against a task that runs twice: an owner does not hear of its successor because it does not
// listen yet, and starts a job that was accepted for its successor.
test('should not serve a term that was over before the end of the takeover', async (t) => {
  for (let delayMs = 0; delayMs < 800; delayMs += 50) {
    const site = new JobSite({ behave: () => ({ size: SIZE, durationMs: 8_000 }) });
    const first = site.start('z', false, 1, 'dc0');
    await site.run(1_500);
    const former = site.start('a', false, 1, 'dc1');
    await site.run(500);
    former.store.unlisted.add(KEYS.ownerPrefix);
    former.store.unansweredLeaseCalls.add('renewLease');
    first.stop();
    await runUntil(site, () => isOwner(site, former));
    await site.run(100);
    const successor = site.start('b', false, 1, 'dc0');
    site.cutFromWorkers(former.client, ['w0']);
    site.cutFromWorkers(successor.client, ['w1']);
    await site.run(200);
    revokeLease(site);
    await runUntil(site, () => isOwner(site, successor));
    await site.run(delayMs);
    former.store.unlisted.clear();
    site.putJobs([ID], makeJob(makeStep({ count: 4 })));
    await site.run(8_000);
    t.deepEqual(site.record.violations, [], `${delayMs} ms`);
  }
});
