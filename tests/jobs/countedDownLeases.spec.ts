/**
 * Leases that an owner counts down in the store: who may go by them, and whom they cost work.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { runUntil, type JobSite, type SiteEntry } from '../fixtures/jobSite.js';
import {
  countRunning,
  LASTING_TASKS as TASKS,
  makeSiteWithLastingTasks,
} from '../fixtures/lastingTasks.js';
import { isOwner } from '../fixtures/ownerIsland.js';

/** Longest time for which a worker can hold a lease that nobody extends, in milliseconds. */
const LONGEST_LEASE_MS = 6_500;

/** Time in which planned changes of the owner may delay a start, in milliseconds. */
const HANDOVER_MS = 1_500;

/** Time from the kill of an owner until its successor starts tasks at the latest, in milliseconds. */
const ELECTION_MS = 3_500;

/** Time after which the lease of a silent worker is counted down, with a margin, in milliseconds. */
const COUNTED_DOWN_AFTER_MS = 2_000;

/** Time without contact after which a lease has almost lapsed, in milliseconds. */
const LONG_CUT_MS = 5_000;

const KEYS = keysOfShare(WHOLE_SITE_SHARE_ID);

const { leases: LEASES_KEY, journal: JOURNAL_KEY } = KEYS;

/** Cuts a worker off from all entries that have been started so far. */
const cutFromAll = (site: JobSite, id: string): void =>
  site.entries.forEach(({ client }) => site.cutFromWorkers(client, [id]));

/** Makes a worker vanish without a trace; what it runs ends with its lease. */
const loseWorker = (site: JobSite, id: string): void => {
  cutFromAll(site, id);
  site.data.remove(`workers/${id}`);
};

const workersOf = (site: JobSite, dataCentre: number): readonly string[] =>
  [...site.workers.keys()].filter((id) => Number(id.slice(1)) % 2 === dataCentre);

/** Cuts all entries off from the store, or ends that. */
const setStoreCutOff = (site: JobSite, isCutOff: boolean): void =>
  site.entries.forEach(({ store }) => Object.assign(store, { isCutOff }));

/** Waits until an owner gets answers of a worker, or until it gets none any more. */
const waitForAnswers = async (
  site: JobSite,
  { entry }: SiteEntry,
  id: string,
  answers: boolean,
): Promise<void> => {
  const isDone = (): boolean =>
    entry.status().workers.some((each) => each.worker === id && each.answers === answers);
  while (!isDone()) await site.clock.advance(2);
};

// Guards against tasks that wait anew with each owner for a worker which none of them has reached: the
// wait was counted from each take-over.
test('should count the lease of a lost worker from the last contact through changes of the owner', async (t) => {
  const { site, owner, successor } = await makeSiteWithLastingTasks();
  const third = site.start('c');
  await site.run(500);
  loseWorker(site, 'w0');
  await site.run(1_000);
  owner.stop();
  await site.run(2_500);
  successor.stop();
  await site.run(2_000);
  third.stop();
  site.start('d');
  cutFromAll(site, 'w0');
  await site.run(LONGEST_LEASE_MS + HANDOVER_MS - 5_500);
  t.is(countRunning(site), TASKS);
  t.deepEqual(site.record.violations, []);
});

// Guards against tasks that wait for the longest lease after a kill of the owner, although that owner had
// got no answer of their worker for a while.
test('should count the lease of a lost worker from the last contact of an owner that was killed', async (t) => {
  const { site, owner } = await makeSiteWithLastingTasks();
  loseWorker(site, 'w0');
  await site.run(2_000);
  owner.kill();
  await site.run(LONGEST_LEASE_MS + ELECTION_MS - 2_000);
  t.is(countRunning(site), TASKS);
  t.deepEqual(site.record.violations, []);
});

// Guards against a task that runs twice: a successor adopts its run, loses the worker before it may
// extend the lease, and takes the lease of the former owner for lapsed at once.
test('should count the lease of a former owner from the first answer of a worker', async (t) => {
  for (let delayMs = 0; delayMs < 40; delayMs += 4) {
    const { site, owner, successor } = await makeSiteWithLastingTasks();
    site.cutFromWorkers(owner.client, ['w0']);
    await waitForAnswers(site, owner, 'w0', false);
    successor.store.failCommitsUnder(LEASES_KEY, 'silent', 'silent', 'silent');
    owner.stop();
    while (successor.entry.status().terms.length === 0) await site.clock.advance(2);
    await waitForAnswers(site, successor, 'w0', true);
    await site.clock.advance(delayMs);
    site.cutFromWorkers(successor.client, ['w0']);
    await site.run(15_000);
    t.deepEqual(site.record.violations, [], `${delayMs} ms`);
    t.is(countRunning(site), TASKS, `${delayMs} ms`);
  }
});

// Guards against a task that runs twice: a successor goes by the time left of a lease that the former
// owner has extended since, because the worker answered again.
test('should wait for the lease of a worker that answered again before its owner was lost', async (t) => {
  for (let delayMs = 0; delayMs < 80; delayMs += 8) {
    const { site, owner, successor } = await makeSiteWithLastingTasks();
    site.cutFromWorkers(owner.client, ['w0']);
    await site.run(LONG_CUT_MS);
    site.healWorkers();
    site.cutFromWorkers(successor.client, ['w0']);
    await waitForAnswers(site, owner, 'w0', true);
    await site.clock.advance(delayMs);
    owner.kill();
    await site.run(20_000);
    t.deepEqual(site.record.violations, [], `${delayMs} ms`);
    t.is(countRunning(site), TASKS, `${delayMs} ms`);
  }
});

// Guards against a task that runs twice while the owner cannot store that the worker answers again.
test('should extend no lease that a stored record counts down', async (t) => {
  for (let delayMs = 0; delayMs < 2_000; delayMs += 200) {
    const { site, owner, successor } = await makeSiteWithLastingTasks();
    site.cutFromWorkers(owner.client, ['w0']);
    await site.run(LONG_CUT_MS);
    owner.store.failCommitsUnder(
      'progress/',
      ...Array.from({ length: 9 }, () => 'silent' as const),
    );
    site.healWorkers();
    site.cutFromWorkers(successor.client, ['w0']);
    await waitForAnswers(site, owner, 'w0', true);
    await site.run(delayMs);
    owner.kill();
    await site.run(20_000);
    t.deepEqual(site.record.violations, [], `${delayMs} ms`);
    t.is(countRunning(site), TASKS, `${delayMs} ms`);
  }
});

/** Waits until an entry has opened the journal of the share. */
const waitForJournal = ({ site, by }: { readonly site: JobSite; readonly by: SiteEntry }) =>
  runUntil(site, () => site.data.items.get(JOURNAL_KEY)?.value.split(' ')[0] === by.client);

// Guards against tasks that wait for the longest lease because an owner died between opening the journal
// and its first record: what its predecessor had stored counted for nothing.
test('should go by the stored leases of an owner before one that died during its take-over', async (t) => {
  for (const faults of [[], ['answer-lost'], ['late']] as const) {
    const { site, owner, successor } = await makeSiteWithLastingTasks();
    loseWorker(site, 'w0');
    await site.run(LONG_CUT_MS);
    successor.store.unlisted.add(KEYS.ownerPrefix);
    successor.store.failCommitsUnder(JOURNAL_KEY, ...faults);
    owner.kill();
    await waitForJournal({ site, by: successor });
    const third = site.start('c');
    site.cutFromWorkers(third.client, ['w0']);
    await site.run(500);
    successor.kill();
    await site.run(ELECTION_MS + LONGEST_LEASE_MS - LONG_CUT_MS);
    t.is(countRunning(site), TASKS, `${faults.join()}`);
    t.deepEqual(site.record.violations, [], `${faults.join()}`);
  }
});

// Guards against tasks that wait longer for the time without an owner, which was not taken off.
test('should count stored leases down while there is no owner', async (t) => {
  const { site, owner } = await makeSiteWithLastingTasks();
  loseWorker(site, 'w0');
  await site.run(2_000);
  owner.kill();
  await site.run(LONGEST_LEASE_MS + HANDOVER_MS - 2_000);
  t.is(countRunning(site), TASKS);
  t.deepEqual(site.record.violations, []);
});

// Guards against a wait that begins anew after each owner that died before its first record.
test('should count stored leases down through owners that die during their take-over', async (t) => {
  const { site, owner, successor } = await makeSiteWithLastingTasks();
  loseWorker(site, 'w0');
  await site.run(2_000);
  successor.store.unlisted.add(KEYS.ownerPrefix);
  owner.kill();
  await waitForJournal({ site, by: successor });
  const third = site.start('c');
  site.cutFromWorkers(third.client, ['w0']);
  await site.run(500);
  successor.kill();
  await site.run(ELECTION_MS);
  t.is(countRunning(site), TASKS);
  t.deepEqual(site.record.violations, []);
});

// Guards against a wait for a data centre that is not reached which begins anew with each owner, also after
// owners that have ordered nothing.
test('should count the time of former owners from when the last of them lost the share', async (t) => {
  const LONGEST_UNCONFIRMED_MS = 12_000;
  const { site, owner, successor } = await makeSiteWithLastingTasks();
  const third = site.start('c');
  const fourth = site.start('d');
  await site.run(500);
  [successor, third].forEach(({ store }) =>
    store.failCommitsUnder(JOURNAL_KEY, ...Array.from({ length: 9 }, () => 'silent' as const)),
  );
  fourth.store.isCutOff = true;
  workersOf(site, 1).forEach((id) => loseWorker(site, id));
  const lostMs = site.clock.monotonicMs();
  owner.kill();
  for (let at = 0; at < 2; at += 1) {
    await runUntil(site, () => [successor, third].some((each) => isOwner(site, each)));
    if (at === 1) fourth.store.isCutOff = false;
    await site.run(300);
    [successor, third].find((each) => isOwner(site, each))?.kill();
    await site.run(300);
  }
  const untilMs = lostMs + ELECTION_MS + LONGEST_UNCONFIRMED_MS + LONGEST_LEASE_MS + HANDOVER_MS;
  await site.run(untilMs - site.clock.monotonicMs());
  t.is(countRunning(site), TASKS);
  t.deepEqual(site.record.violations, []);
});

// Guards against a task that runs twice: an owner extends a lease that it has passed on to its successor
// as counted down.
test('should extend no lease that was counted down at the take-over before that is stored', async (t) => {
  for (let delayMs = 0; delayMs < 2_000; delayMs += 200) {
    const { site, owner, successor } = await makeSiteWithLastingTasks();
    site.cutFromWorkers(owner.client, ['w0']);
    await site.run(LONG_CUT_MS);
    const isOpened = waitForJournal({ site, by: successor });
    owner.stop();
    await isOpened;
    successor.store.failCommits(...Array.from({ length: 9 }, () => 'silent' as const));
    const third = site.start('c');
    site.cutFromWorkers(third.client, ['w0']);
    await waitForAnswers(site, successor, 'w0', true);
    await site.run(delayMs);
    successor.kill();
    await site.run(20_000);
    t.deepEqual(site.record.violations, [], `${delayMs} ms`);
    t.is(countRunning(site), TASKS, `${delayMs} ms`);
  }
});

// Guards against a worker that is never used again after it did not answer for a while.
test('should extend the lease of a worker again once the record is stored', async (t) => {
  const { site, owner } = await makeSiteWithLastingTasks();
  site.cutFromWorkers(owner.client, ['w0']);
  await site.run(3_500);
  t.true(site.data.items.has(LEASES_KEY));
  site.healWorkers();
  await site.run(20_000);
  t.false(site.data.items.has(LEASES_KEY));
  t.is(site.record.runs.length, TASKS);
  t.is(countRunning(site), TASKS);
});

// Guards against runs that end with their lease because the owner cannot store that a worker answers
// again after it was silent for a moment.
test('should go on extending leases of workers that were silent during an outage of the store', async (t) => {
  const { site, owner } = await makeSiteWithLastingTasks();
  setStoreCutOff(site, true);
  await site.run(2_000);
  site.cutFromWorkers(owner.client, ['w0']);
  await waitForAnswers(site, owner, 'w0', false);
  await site.run(COUNTED_DOWN_AFTER_MS);
  site.healWorkers();
  await site.run(5_000);
  setStoreCutOff(site, false);
  await site.run(10_000);
  t.is(countRunning(site), TASKS);
  t.is(site.record.runs.length, TASKS);
});

// Guards against the cost of storing the whole roster, or a record at each pass, while a worker is silent.
test('should store a small record twice a second at most while a worker is silent', async (t) => {
  const SILENCE_MS = 4_000;
  const WRITES_A_SECOND = 2;
  const { site, owner } = await makeSiteWithLastingTasks();
  await site.run(2_000);
  const { roster } = keysOfShare(WHOLE_SITE_SHARE_ID);
  const from = site.data.revision;
  const writesOf = (key: string): number =>
    site.data.changes.filter((each) => each.key === key && each.revision > from).length;
  site.cutFromWorkers(owner.client, ['w0']);
  await site.run(SILENCE_MS);
  t.true(writesOf(LEASES_KEY) > 0);
  t.true(writesOf(LEASES_KEY) <= (SILENCE_MS / 1_000) * WRITES_A_SECOND);
  t.is(writesOf(roster), 0);
  site.healWorkers();
  await site.run(2_000);
  const before = writesOf(LEASES_KEY);
  await site.run(10_000);
  t.is(writesOf(LEASES_KEY), before);
});

// Guards against a task that runs twice: an entry of a version that stores no such records owned the
// share since, and has extended the lease.
test('should not go by a record that the last owner has not written', async (t) => {
  const { site, owner, successor } = await makeSiteWithLastingTasks();
  const record = {
    journal: 'before 1',
    leases: [...site.workers.keys()].map((id) => ({ id, leftMs: 0 })),
  };
  site.data.put(LEASES_KEY, JSON.stringify(record));
  t.not(site.data.items.get(JOURNAL_KEY)?.value, record.journal);
  site.cutFromWorkers(successor.client, ['w0']);
  owner.kill();
  await site.run(20_000);
  t.deepEqual(site.record.violations, []);
  t.is(countRunning(site), TASKS);
});

// Guards against a take-over that fails at a record which cannot be read.
test('should take over beside a record of leases that cannot be read', async (t) => {
  const { site, owner } = await makeSiteWithLastingTasks();
  site.data.put(LEASES_KEY, '{"journal":5}');
  loseWorker(site, 'w0');
  owner.kill();
  await site.run(20_000);
  t.is(countRunning(site), TASKS);
  t.deepEqual(site.record.violations, []);
});

// Guards against a task that runs twice: an owner that is cut off goes by the stored time left of a lease
// although its successor may have reached the worker and extended the lease.
test('should not go by a stored lease once there may be another owner', async (t) => {
  for (let delayMs = 0; delayMs < 200; delayMs += 20) {
    const { site, owner, successor } = await makeSiteWithLastingTasks();
    site.cutFromWorkers(owner.client, workersOf(site, 0));
    site.cutFromWorkers(successor.client, workersOf(site, 0));
    while (!site.data.items.has(LEASES_KEY)) await site.clock.advance(2);
    owner.stop();
    const isWaiting = (): boolean =>
      successor.entry.status().terms.some(({ waitsForFormerOwner }) => waitsForFormerOwner);
    while (!isWaiting()) await site.clock.advance(2);
    await site.clock.advance(delayMs);
    successor.store.isCutOff = true;
    const third = site.start('c', false, 1, 'dc0');
    site.cutFromWorkers(third.client, workersOf(site, 1));
    await site.run(25_000);
    t.deepEqual(site.record.violations, [], `${delayMs} ms`);
  }
});

// Guards against a task that runs twice: an owner that is cut off gives up on workers that its successor
// has reached.
test('should not give up on workers once there may be another owner', async (t) => {
  const { site, owner, successor } = await makeSiteWithLastingTasks();
  site.cutFromWorkers(owner.client, workersOf(site, 1));
  site.cutFromWorkers(successor.client, workersOf(site, 0));
  owner.store.isCutOff = true;
  while (successor.entry.status().terms.length === 0) await site.run(50);
  await site.run(7_500);
  successor.store.isCutOff = true;
  const third = site.start('c', false, 1, 'dc0');
  site.cutFromWorkers(third.client, workersOf(site, 1));
  await site.run(25_000);
  t.deepEqual(site.record.violations, []);
});

// Guards against two writes for each failed poll of a busy worker: the time for which a long poll was
// held counts as silence.
test('should not count down the lease of a worker that fails one poll', async (t) => {
  for (let delayMs = 2_000; delayMs < 3_000; delayMs += 100) {
    const { site } = await makeSiteWithLastingTasks();
    await site.clock.advance(delayMs);
    const from = site.data.revision;
    site.workers.get('w0')?.resetConnections();
    await site.run(3_000);
    t.is(countRunning(site), TASKS);
    const writes = site.data.changes.filter(
      ({ key, revision }) => key === LEASES_KEY && revision > from,
    );
    t.is(writes.length, 0, `${delayMs} ms`);
  }
});

// Guards against runs that end with their lease because a worker was silent for a moment shortly before
// an outage of the store.
test('should go on extending leases of workers that were silent when an outage began', async (t) => {
  const { site, owner } = await makeSiteWithLastingTasks();
  await site.run(2_000);
  site.cutFromWorkers(owner.client, ['w0']);
  while (!site.data.items.has(LEASES_KEY)) await site.clock.advance(2);
  setStoreCutOff(site, true);
  await site.run(300);
  site.healWorkers();
  await site.run(8_000);
  setStoreCutOff(site, false);
  await site.run(10_000);
  t.is(countRunning(site), TASKS);
  t.is(site.record.runs.length, TASKS);
});
