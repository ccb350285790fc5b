/**
 * Owners whose successor is elected while they still take over.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { JobSite, type SiteEntry } from '../fixtures/jobSite.js';

const KEYS = keysOfShare(WHOLE_SITE_SHARE_ID);

/** Most calls of a test that can be lost. */
const MANY = 1_000;

const ownerOf = ({ data }: JobSite): string | undefined =>
  data.items.get(KEYS.owner)?.value.split(' ')[0];

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
  site.data.endLease(site.data.items.get(KEYS.owner)?.leaseId ?? '');
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
