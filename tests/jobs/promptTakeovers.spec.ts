/**
 * How many calls to the store a takeover waits for, one after the other.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { makeJob, makeOwnedSite, makeStep, runUntil } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const { owner: OWNER_KEY, opened: OPENED_KEY } = keysOfShare(WHOLE_SITE_SHARE_ID);

/** Time that the store takes for an answer, in milliseconds, as on a busy link or a starved machine. */
const SLOW_MS = 400;

/** Time for workers to answer and for a pass, in milliseconds. */
const OWN_MS = 200;

/** Time for some answers that are not late, for workers and for a pass, in milliseconds. */
const PROMPT_MS = 100;

/** Makes a site whose owner dies, with a waiting job; the successor has just opened the journal. */
const makeSuccession = async (latencyMs?: number) => {
  const { site, owner } = await makeOwnedSite({ workers: 2 });
  const successor = site.start('b');
  await site.run(500);
  const revisionOf = (key: string): number => site.data.items.get(key)?.revision ?? 0;
  owner.kill();
  await site.submit(successor, ID, makeJob(makeStep()));
  await runUntil(site, () => !site.data.items.has(OWNER_KEY));
  const openedBefore = revisionOf(OPENED_KEY);
  if (latencyMs !== undefined) successor.store.latencyMs = () => latencyMs;
  await runUntil(site, () => site.data.items.has(OWNER_KEY));
  const electedMs = site.clock.monotonicMs();
  await runUntil(site, () => revisionOf(OPENED_KEY) > openedBefore);
  return { site, electedMs, openedMs: site.clock.monotonicMs() };
};

// Guards against reads before the first write of a takeover that wait for each other.
test('should read what it needs for its first write at once', async (t) => {
  const { electedMs, openedMs } = await makeSuccession(SLOW_MS);
  // The reads, and the write.
  const CALLS = 2;
  t.true(openedMs - electedMs <= CALLS * SLOW_MS + OWN_MS, `${openedMs - electedMs} ms`);
});

// Guards against a takeover that reads the list of workers only after it has read the state of the jobs.
test('should read the list of workers together with the state of the jobs', async (t) => {
  const { site, openedMs } = await makeSuccession(SLOW_MS);
  await runUntil(site, () => site.record.runs.length > 0);
  const startedMs = site.clock.monotonicMs();
  t.true(startedMs - openedMs <= SLOW_MS + OWN_MS, `${startedMs - openedMs} ms`);
  await site.run(4_000);
  t.deepEqual(site.record.violations, []);
});

// Guards against a takeover that waits for the next time at which an entry without shares would ask the store.
test('should start tasks within the time of its calls if the store answers at once', async (t) => {
  const { site, openedMs } = await makeSuccession();
  await runUntil(site, () => site.record.runs.length > 0);
  const startedMs = site.clock.monotonicMs();
  t.true(startedMs - openedMs <= PROMPT_MS, `${startedMs - openedMs} ms`);
  await site.run(4_000);
  t.deepEqual(site.record.violations, []);
});
