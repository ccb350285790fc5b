/**
 * Renewals of the owner's lease that are not answered, or late.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { makeOwnedSite, runUntil } from '../fixtures/jobSite.js';

const OWNER_KEY = keysOfShare(WHOLE_SITE_SHARE_ID).owner;

/** Time from one renewal to the next, in milliseconds. */
const RENEWAL_INTERVAL_MS = 700;

/** Time in which two renewals are not answered and a third one still is, in milliseconds. */
const OUTAGE_MS = 2_150;

/** Makes a site with an owner whose lease has just been renewed. */
const makeRenewedSite = async () => {
  const { site, owner } = await makeOwnedSite({ workers: 1 });
  const countRenewals = (): number => owner.store.calls.get('renewLease') ?? 0;
  const before = countRenewals();
  await runUntil(site, () => countRenewals() > before);
  await site.clock.advance(10);
  return { site, owner, countRenewals };
};

// Guards against an owner that loses its share to two lost answers, and takes turns with its successors.
test('should renew the lease although two renewals are not answered', async (t) => {
  const { site, owner } = await makeRenewedSite();
  const fencingToken = site.data.items.get(OWNER_KEY)?.revision;
  owner.store.isCutOff = true;
  await site.clock.advance(OUTAGE_MS);
  owner.store.isCutOff = false;
  await site.run(5_000);
  t.is(site.data.items.get(OWNER_KEY)?.revision, fencingToken);
});

test('should renew as often if each answer takes long', async (t) => {
  const SLOW_MS = 500;
  const INTERVALS = 10;
  const { site, owner, countRenewals } = await makeRenewedSite();
  owner.store.latencyMs = () => SLOW_MS;
  const before = countRenewals();
  await site.run(INTERVALS * RENEWAL_INTERVAL_MS);
  t.true(countRenewals() - before >= INTERVALS - 1, `${countRenewals() - before} renewals`);
});

// Guards against the price of calls to a store that is away.
test('should ask a store that is away no more often than one that answers', async (t) => {
  const INTERVALS = 10;
  const { site, owner, countRenewals } = await makeRenewedSite();
  owner.store.isCutOff = true;
  await site.run(4_000);
  const before = countRenewals();
  await site.run(INTERVALS * RENEWAL_INTERVAL_MS);
  t.true(countRenewals() - before <= INTERVALS, `${countRenewals() - before} renewals`);
});
