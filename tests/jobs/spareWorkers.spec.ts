/**
 * An owner that is cut off and does without the answers of a few workers of a data centre, beside its
 * successor, which has to reach more of them.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import type { JobSite } from '../fixtures/jobSite.js';
import { countRunning, makeSiteWithLastingTasks } from '../fixtures/lastingTasks.js';
import { cutOff, makeIsland } from '../fixtures/ownerIsland.js';

const { roster: ROSTER_KEY } = keysOfShare(WHOLE_SITE_SHARE_ID);

const TASKS = 9;

/** Longest wait for the lease of a silent worker beside enough others that answer, in milliseconds. */
const FORMER_LEASE_MS = 9_000;

/** Time from an election until the first contacts, and from the wait until the starts, in milliseconds. */
const START_MS = 1_500;

/** Time after which every owner before the present one has ended, in milliseconds. */
const SETTLED_AFTER_MS = 12_000;

/** Reads how many workers a successor has to reach, by the stored entry of a worker. */
const contactsNeededFor = (site: JobSite, worker: string): number | undefined => {
  const text = site.data.items.get(ROSTER_KEY)?.value ?? '[]';
  const entries = JSON.parse(text) as { id: string; contactsNeeded: number }[];
  return entries.find(({ id }) => id === worker)?.contactsNeeded;
};

// Guards against a task that runs twice: a successor counts from its contact with a worker whose answers
// the former owner does without.
test('should wait for workers beside one that the former owner does without', async (t) => {
  const island = await makeIsland({ workers: 6, tasks: TASKS });
  const { site, former } = island;
  site.cutFromWorkers(former.client, ['w3']);
  await cutOff(island, ['w3']);
  await site.run(25_000);
  t.deepEqual(site.record.violations, []);
});

// Guards against tasks that wait for as long although the former owner has stopped.
test('should count leases from the contact with one worker more than the former owner does without', async (t) => {
  const island = await makeIsland({ workers: 6, tasks: TASKS });
  const { site, former } = island;
  site.cutFromWorkers(former.client, ['w3', 'w5']);
  await cutOff(island, ['w3', 'w5']);
  await site.run(FORMER_LEASE_MS + START_MS);
  t.is(countRunning(site), TASKS);
  await site.run(15_000);
  t.deepEqual(site.record.violations, []);
});

// Guards against a task that runs twice: a former owner goes by a roster that its successor does not read.
test('should do without no worker before the roster that allows it is stored', async (t) => {
  const island = await makeIsland({ tasks: TASKS });
  const { site, former } = island;
  former.store.failCommitsUnder(ROSTER_KEY, ...Array.from({ length: 9 }, () => 'silent' as const));
  site.addWorker('w5');
  await site.run(500);
  site.cutFromWorkers(former.client, ['w3']);
  await cutOff(island, ['w3']);
  await site.run(25_000);
  t.deepEqual(site.record.violations, []);
});

// Guards against a task that runs twice: the owner before the last does without more workers than the last
// one, which has fewer.
test('should pass on how many contacts earlier owners make necessary until they have ended', async (t) => {
  const { site, owner, successor } = await makeSiteWithLastingTasks();
  t.is(contactsNeededFor(site, 'w1'), 1);
  owner.kill();
  const entries = JSON.parse(site.data.items.get(ROSTER_KEY)?.value ?? '[]') as object[];
  site.data.put(
    ROSTER_KEY,
    JSON.stringify(entries.map((entry) => ({ ...entry, contactsNeeded: 3 }))),
  );
  while (successor.entry.status().terms.length === 0) await site.run(50);
  site.addWorker('w7');
  await site.run(2_000);
  t.is(contactsNeededFor(site, 'w1'), 3);
  t.is(contactsNeededFor(site, 'w7'), 2);
  await site.run(SETTLED_AFTER_MS);
  t.is(contactsNeededFor(site, 'w1'), 2);
});
