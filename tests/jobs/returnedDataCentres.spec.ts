/**
 * Data centres whose workers come back at new addresses while a former owner may still act.
 */
import test from 'ava';

import { runUntil } from '../fixtures/jobSite.js';
import {
  countRunning,
  LASTING_TASKS as TASKS,
  makeSiteWithLastingTasks,
} from '../fixtures/lastingTasks.js';
import { isOwner } from '../fixtures/ownerIsland.js';

/** Longest wait for the lease of a worker beside one that answers, in milliseconds. */
const FORMER_LEASE_MS = 9_000;

/** Time from an election until the first contacts, and from the wait until the starts, in milliseconds. */
const START_MS = 1_500;

// Guards against tasks that wait for 18.5 s for a worker that is lost with its owner: no worker of the
// data centre counted as one that every former owner calls.
test('should count the lease of a lost worker from a contact with one that was listed with it', async (t) => {
  const { site, owner, successor } = await makeSiteWithLastingTasks({ replacesCrashed: true });
  ['w1', 'w3'].forEach((id) => site.workers.get(id)?.crash());
  owner.kill();
  await runUntil(site, () => isOwner(site, successor));
  await site.run(5_000);
  t.is(countRunning(site), TASKS);
  const third = site.start('c');
  await site.run(500);
  site.cutFromWorkers(successor.client, ['w201']);
  site.cutFromWorkers(third.client, ['w201']);
  site.data.remove('workers/w201');
  successor.kill();
  await runUntil(site, () => isOwner(site, third));
  await site.run(FORMER_LEASE_MS + START_MS);
  t.is(countRunning(site), TASKS);
  t.deepEqual(site.record.violations, []);
});
