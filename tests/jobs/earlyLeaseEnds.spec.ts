/**
 * An owner that believes itself certain of its lease while the store has ended it early.
 */
import test from 'ava';

import type { JobSite, SiteEntry } from '../fixtures/jobSite.js';
import { cutOff, makeIsland } from '../fixtures/ownerIsland.js';
import { revokeLease } from '../fixtures/revokedLease.js';

/** Time between two renewals of an owner's lease, in milliseconds. */
const RENEWAL_INTERVAL_MS = 700;

/** Time after which every owner before the present one has ended, in milliseconds. */
const SETTLED_AFTER_MS = 12_000;

/** Time in which a former owner stops extending leases once its successor has been elected, in ms. */
const DISCOVERY_MS = 2_400;

/** Longest lease of a worker, in milliseconds. */
const MAX_LEASE_MS = 6_000;

/** Cuts an owner off from the store, which ends its lease at once. */
const endLeaseEarly = (site: JobSite, { store }: SiteEntry): void => {
  const cut = store;
  cut.isCutOff = true;
  revokeLease(site);
};

/** Returns the latest end of a lease that a worker has during a time, as a time of the clock. */
const latestLeaseEndMs = async (site: JobSite, id: string, durationMs: number): Promise<number> => {
  const STEP_MS = 10;
  let latestMs = 0;
  for (let at = 0; at < durationMs; at += STEP_MS) {
    const leftMs = site.workers.get(id)?.leaseLeftMs ?? 0;
    latestMs = Math.max(latestMs, site.clock.monotonicMs() + leftMs);
    await site.clock.advance(STEP_MS);
  }
  return latestMs;
};

// Guards against leases that a former owner extends later than its successor allows for: it counts on
// the rest of a lease of its own that the store has ended.
test('should not extend leases for long once its own lease has ended early', async (t) => {
  for (const phase of ['ready', 'draining'] as const) {
    for (let sinceMs = 0; sinceMs < RENEWAL_INTERVAL_MS; sinceMs += 100) {
      const island = await makeIsland({
        prepare: (site) => site.registerWorker('w3', { phase }),
      });
      const { site, former } = island;
      // The owner before has certainly ended.
      await site.run(SETTLED_AFTER_MS);
      await site.run(sinceMs);
      endLeaseEarly(site, former);
      await cutOff(island, ['w3']);
      const electedMs = site.clock.monotonicMs();
      const endMs = await latestLeaseEndMs(site, 'w1', MAX_LEASE_MS);
      t.true(endMs <= electedMs + DISCOVERY_MS + MAX_LEASE_MS, `${phase}, ${sinceMs} ms`);
      await site.run(20_000);
      t.deepEqual(site.record.violations, [], `${phase}, ${sinceMs} ms`);
    }
  }
});
