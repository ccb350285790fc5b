/**
 * Leases that an owner stores as it hands over, each with its own end.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';
import { ProgressJournal } from 'samphirenotch/jobs/store/progressJournal.js';
import { LeaseCountdown } from 'samphirenotch/jobs/workers/leaseCountdown.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { runUntil, type JobSite, type SiteEntry } from '../fixtures/jobSite.js';
import {
  countRunning,
  LASTING_TASKS as TASKS,
  makeSiteWithLastingTasks,
} from '../fixtures/lastingTasks.js';
import { MemoryStoreData, MemoryTransactionStore } from '../fixtures/memoryTransactionStore.js';
import { isOwner } from '../fixtures/ownerIsland.js';

const { journal: JOURNAL_KEY, leases: LEASES_KEY } = keysOfShare(WHOLE_SITE_SHARE_ID);

/** Longest time for which a worker can hold a lease that nobody extends, in milliseconds. */
const LONGEST_LEASE_MS = 6_500;

/** Time from the end of a lease until the owner has made a pass and started the task again, in milliseconds. */
const START_MS = 500;

/** Time in which all of a site's leases are over and its tasks run again, in milliseconds. */
const AFTERMATH_MS = 20_000;

/** Makes a countdown whose store answers nothing yet. */
const makeCountdown = () => {
  const clock = new ManualClock();
  const store = new MemoryTransactionStore(new MemoryStoreData(clock));
  const journal = new ProgressJournal(store, clock, 'journal', 0, '1 a', () => undefined);
  const countdown = new LeaseCountdown(clock, () => undefined);
  countdown.beginTerm(journal, 'leases', { leases: [], othersEndMs: Infinity, othersEnds: [] });
  return { clock, countdown };
};

// Guards against a task that runs twice: an owner that hands over extends a lease up to the end of another
// one, although its successor goes by its own.
test('should extend no lease beyond its own end once it is written', (t) => {
  const { clock, countdown } = makeCountdown();
  const nowMs = clock.monotonicMs();
  countdown.finish(
    [{ id: 'w0', leftMs: 1_000 }],
    [
      { id: 'w1', leftMs: 4_000 },
      { id: 'w2', leftMs: 5_800 },
    ],
  );
  t.is(countdown.limitMs('w0'), nowMs + 1_000);
  t.is(countdown.limitMs('w1'), nowMs + 4_000);
  t.is(countdown.limitMs('w2'), nowMs + 5_800);
  t.is(countdown.limitMs('w3'), nowMs + 5_800);
  t.true(countdown.has('w0'));
  t.false(countdown.has('w1'));
});

const othersThan = ({ entries }: JobSite, ...owners: readonly SiteEntry[]): readonly SiteEntry[] =>
  entries.filter((each) => !owners.includes(each));

const isOpenedBy = ({ data }: JobSite, { client }: SiteEntry): boolean =>
  data.items.get(JOURNAL_KEY)?.value.split(' ')[0] === client;

/** Waits until one of the entries owns the site; returns it. */
const waitForOwner = async (site: JobSite, among: readonly SiteEntry[]): Promise<SiteEntry> => {
  let owner: SiteEntry | undefined;
  await runUntil(site, () => {
    owner = among.find((each) => isOwner(site, each));
    return owner !== undefined;
  });
  if (!owner) throw new Error('no owner');
  return owner;
};

// Guards against tasks of a lost worker that wait for the leases of others, which their owner has extended until
// it was stopped.
for (const lostMs of [100, 300, 500, 900]) {
  test(`should count the lease of a worker that is lost ${lostMs} ms before a planned stop from its last extension`, async (t) => {
    for (const phaseMs of [0, 250, 500, 750]) {
      const { site, owner } = await makeSiteWithLastingTasks({ milliCores: 8_000 });
      await site.run(2_000 + phaseMs);
      const { taskId = '' } = site.workers.get('w0')?.activeRuns()[0] ?? {};
      const fromMs = site.clock.monotonicMs();
      site.loseWorker('w0');
      await site.run(lostMs);
      owner.stop();
      await site.run(AFTERMATH_MS);
      t.is(countRunning(site), TASKS, `${phaseMs} ms`);
      const backMs = (site.record.runsOf(taskId).at(-1)?.startedMs ?? Infinity) - fromMs;
      t.log(`${phaseMs}: back after ${Math.round(backMs)} ms`);
      t.true(backMs <= LONGEST_LEASE_MS + START_MS, `${phaseMs} ms`);
      t.deepEqual(site.record.violations, []);
    }
  });
}

// Guards against a task that runs twice: an owner passes on an end that it has extended itself since.
test('should wait for a lease that an owner without the store has extended after a planned stop', async (t) => {
  for (let storedMs = 0; storedMs <= 40; storedMs += 4) {
    const { site, owner } = await makeSiteWithLastingTasks();
    site.start('c');
    await site.run(2_000);
    // The lease on the worker ends before those on the others.
    site.cutFromWorkers(owner.client, ['w0']);
    await site.run(500);
    owner.stop();
    const second = await waitForOwner(site, othersThan(site, owner));
    while (!isOpenedBy(site, second)) await site.clock.advance(1);
    const passedOn = JSON.parse(site.data.items.get(LEASES_KEY)?.value ?? '{}');
    t.true(passedOn.othersLeftMs > 0);
    t.is(passedOn.othersLeases, undefined);
    await site.clock.advance(storedMs);
    second.store.isCutOff = true;
    const [third] = othersThan(site, owner, second);
    site.cutFromWorkers(third?.client ?? '', ['w0']);
    await site.run(AFTERMATH_MS);
    t.deepEqual(site.record.violations, [], `${storedMs} ms`);
    t.is(countRunning(site), TASKS, `${storedMs} ms`);
  }
});

// Guards against the same while the record is on its way: the owner still polls its workers.
test('should run no task twice whose worker answers an owner that hands over slowly', async (t) => {
  for (let phaseMs = 0; phaseMs < 1_000; phaseMs += 100) {
    const { site, owner, successor } = await makeSiteWithLastingTasks();
    await site.run(2_000 + phaseMs);
    site.cutFromWorkers(successor.client, ['w0']);
    owner.store.latencyMs = () => 250;
    owner.stop();
    await site.run(AFTERMATH_MS);
    t.deepEqual(site.record.violations, [], `${phaseMs} ms`);
    t.is(countRunning(site), TASKS, `${phaseMs} ms`);
  }
});
