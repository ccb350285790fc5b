/**
 * Long-running tasks that are interrupted while the store answers slowly or not at all.
 */
import test from 'ava';

import {
  countRunning,
  LASTING_JOB_ID as ID,
  LASTING_TASKS as TASKS,
  makeSiteWithLastingTasks,
} from '../fixtures/lastingTasks.js';

/**
 * Time after its last run within which a task that lasts has to run again, as the platform's pages
 * say, in milliseconds.
 */
const LASTING_BOUND_MS = 6_000;

// Guards against a task that waits for as long as the store is slow: each write of its place takes longer
// than it waits for one, and is replaced by the next (LOST).
for (const latencyMs of [200, 350, 500, 700, 1_000]) {
  test(`should start an interrupted task again while the store takes ${latencyMs} ms`, async (t) => {
    const { site, owner } = await makeSiteWithLastingTasks({ workers: TASKS + 1 });
    await site.run(2_000);
    site.entries.forEach(({ store }) => Object.assign(store, { latencyMs: () => latencyMs }));
    await site.run(1_000);
    t.is(countRunning(site), TASKS);
    const [busy] = [...site.workers.values()].filter((each) => each.activeRuns().length > 0);
    busy?.endRuns(ID, 'failed');
    await site.run(LASTING_BOUND_MS);
    t.is(countRunning(site), TASKS);
    t.true(owner.entry.status().terms.length > 0);
    t.deepEqual(site.record.violations, []);
  });
}

// Guards against a task that waits for the end of an outage of the store although its worker could run it.
test('should start an interrupted task again in an outage of the store', async (t) => {
  const { site } = await makeSiteWithLastingTasks({ workers: TASKS + 1 });
  await site.run(2_000);
  site.entries.forEach(({ store }) => Object.assign(store, { isCutOff: true }));
  await site.run(500);
  const [busy] = [...site.workers.values()].filter((each) => each.activeRuns().length > 0);
  busy?.endRuns(ID, 'failed');
  await site.run(LASTING_BOUND_MS);
  t.is(countRunning(site), TASKS);
  t.deepEqual(site.record.violations, []);
});
