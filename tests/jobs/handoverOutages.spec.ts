/**
 * Outages of the store that begin as an owner hands over.
 */
import test from 'ava';

import { runUntil } from '../fixtures/jobSite.js';
import { countRunning, LASTING_TASKS, makeSiteWithLastingTasks } from '../fixtures/lastingTasks.js';

/** Duration of the outage, in milliseconds: shorter than an owner goes on without the store. */
const OUTAGE_MS = 8_000;

// Guards against runs that all lapse because a successor has not stored its first record of leases.
for (const offsetMs of [2, 4, 6, 8, 10, 12, 15, 20, 40, 80, 150, 300, 500]) {
  test(`should keep runs in an outage ${offsetMs} ms after a planned takeover`, async (t) => {
    const { site, owner } = await makeSiteWithLastingTasks();
    await site.run(2_000);
    const others = site.entries.filter((each) => each !== owner);
    owner.stop();
    await runUntil(site, () => others.some(({ entry }) => entry.status().terms.length > 0));
    await site.run(offsetMs);
    site.entries.forEach(({ store }) => Object.assign(store, { isCutOff: true }));
    await site.run(OUTAGE_MS);
    t.is(countRunning(site), LASTING_TASKS);
  });
}

// Guards against runs that lapse because their owner, which cannot hand over, has stopped extending leases.
for (const beforeMs of [0, 100, 300, 600]) {
  test(`should keep runs if the store is lost ${beforeMs} ms before a planned stop`, async (t) => {
    const { site, owner } = await makeSiteWithLastingTasks();
    await site.run(2_000);
    site.entries.forEach(({ store }) => Object.assign(store, { isCutOff: true }));
    await site.run(beforeMs);
    owner.stop();
    await site.run(OUTAGE_MS);
    t.is(countRunning(site), LASTING_TASKS);
  });
}
