/**
 * Successors of an owner whose process has ended, as the next process of its machine shows.
 */
import test from 'ava';
import { FormerLeases } from 'samphirenotch/jobs/workers/formerLeases.js';
import {
  encodeProcess,
  ProcessDirectory,
  processKeyOf,
} from 'samphirenotch/jobs/store/processDirectory.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { runUntil, type JobSite, type SiteEntry } from '../fixtures/jobSite.js';
import { countRunning, LASTING_TASKS, makeSiteWithLastingTasks } from '../fixtures/lastingTasks.js';
import { cutOff, FAR, makeIsland } from '../fixtures/ownerIsland.js';

/** Time after which every owner before the present one has ended, in milliseconds. */
const SETTLED_AFTER_MS = 12_500;

/** Time from the end of any run from which its task counts as lost unless it runs again, in milliseconds. */
const LOST_MS = 9_000;

/** Time that has to be calm until a task counts as lost, in milliseconds. */
const CALM_MS = 7_000;

/** Longest lease of a worker, in milliseconds. */
const MAX_LEASE_MS = 6_000;

const LOST_WORKER = 'w3';

/** Starts the next process of an entry, which does not reach the lost worker either. */
const restart = (site: JobSite, { name }: SiteEntry): void =>
  site.cutFromWorkers(site.start(name).client, [LOST_WORKER]);

/** Runs a site until all its tasks run; returns how long that took, in milliseconds. */
const timeUntilAllRun = async (site: JobSite): Promise<number> => {
  const fromMs = site.clock.monotonicMs();
  await site.run(50);
  while (countRunning(site) < LASTING_TASKS && site.clock.monotonicMs() < fromMs + 30_000)
    await site.run(50);
  return site.clock.monotonicMs() - fromMs;
};

// Guards against tasks that last and wait for 12 to 19 s after a worker and the owner are lost at once (review/7).
for (const dataCentres of [2, LASTING_TASKS]) {
  for (const downMs of [100, 700, 2_000, 3_500]) {
    const beside = dataCentres === LASTING_TASKS ? 'the only worker of a data centre' : 'a worker';
    test(`should run tasks again in time after ${beside} is lost with the owner, back in ${downMs} ms`, async (t) => {
      const { site, owner } = await makeSiteWithLastingTasks({ dataCentres });
      await site.run(SETTLED_AFTER_MS);
      site.loseWorker(LOST_WORKER);
      owner.kill();
      await site.run(downMs);
      restart(site, owner);
      const awayMs = downMs + (await timeUntilAllRun(site));
      t.true(awayMs <= Math.max(LOST_MS, downMs + CALM_MS), `away for ${awayMs} ms`);
      await site.run(10_000);
      t.deepEqual(site.record.violations, []);
    });
  }
}

// Guards against the same where the next owner is lost as well before it has waited.
test('should run tasks again in time after a worker and two owners are lost', async (t) => {
  const { site, owner, successor } = await makeSiteWithLastingTasks({ dataCentres: LASTING_TASKS });
  await site.run(SETTLED_AFTER_MS);
  site.loseWorker(LOST_WORKER);
  owner.kill();
  await runUntil(site, () => successor.entry.status().terms.length > 0);
  restart(site, owner);
  await site.run(1_500);
  successor.kill();
  await site.run(100);
  restart(site, successor);
  const awayMs = await timeUntilAllRun(site);
  t.true(awayMs <= CALM_MS, `away for ${awayMs} ms after the last loss`);
  await site.run(10_000);
  t.deepEqual(site.record.violations, []);
});

// Guards against the same where the owner that is lost has taken over only a short time before.
for (const servesMs of [3_000, 6_000, 10_000]) {
  test(`should run tasks again in time after an owner is lost that has served for ${servesMs} ms`, async (t) => {
    const { site, owner } = await makeSiteWithLastingTasks({ dataCentres: LASTING_TASKS });
    await site.run(SETTLED_AFTER_MS);
    owner.kill();
    await site.run(100);
    const second = site.start(owner.name);
    await site.run(servesMs);
    site.loseWorker(LOST_WORKER);
    second.kill();
    await site.run(100);
    restart(site, owner);
    const awayMs = 100 + (await timeUntilAllRun(site));
    t.true(awayMs <= LOST_MS, `away for ${awayMs} ms`);
    await site.run(10_000);
    t.deepEqual(site.record.violations, []);
  });
}

// Guards against tasks that run twice: an earlier owner goes on although the process of the last one has ended.
test('should wait for an earlier owner that goes on when the process of the last one has ended', async (t) => {
  for (const servesMs of [300, 1_500, 4_000]) {
    const island = await makeIsland({});
    const { site, successor } = island;
    await cutOff(island, []);
    await site.run(servesMs);
    successor.kill();
    await site.run(100);
    const { client } = site.start(successor.name);
    site.cutFromWorkers(client, FAR);
    await site.run(30_000);
    t.deepEqual(site.record.violations, [], `${servesMs} ms`);
  }
});

const makeLeases = (usedSinceTerm: number, endedMs: number) => {
  const clock = new ManualClock();
  const leases = new FormerLeases(clock, () => endedMs);
  const worker = {
    id: 'w0',
    address: 'w0:1',
    dataCentre: 'dc0',
    calledSinceTerm: usedSinceTerm,
    usedSinceTerm,
    contactsNeeded: 1,
  };
  const ends = { leases: [], othersEndMs: Infinity, othersEnds: [] };
  leases.beginTerm(ends, [worker], clock.monotonicMs(), { process: 'a-1', fencingToken: 7 });
  const nowMs = clock.monotonicMs();
  return { nowMs, endMs: leases.endMs(worker), ownersEndMs: leases.ownersEndMs };
};

// Guards against a worker that an earlier owner may still use, and one that is waited for although none does.
test('should go by the end of the last owner only for workers that no earlier owner uses', (t) => {
  const { nowMs, endMs } = makeLeases(7, -500);
  t.true(endMs <= nowMs - 500 + 1.1 * MAX_LEASE_MS);
  t.true(makeLeases(6, -500).endMs >= nowMs + SETTLED_AFTER_MS);
  t.true(makeLeases(7, Infinity).endMs >= nowMs + SETTLED_AFTER_MS);
  t.is(makeLeases(7, -500).ownersEndMs, -500);
  t.true(makeLeases(6, -500).ownersEndMs >= nowMs + LOST_MS);
});

// Guards against a record of a process that counts although it cannot be read, or is of another machine.
test('should hold the newest process of each machine', (t) => {
  const directory = new ProcessDirectory();
  const process = 'front-1@10.0.0.1-ab';
  const key = processKeyOf(process);
  directory.apply(key, encodeProcess({ process, ageMs: 12.7 }), 4);
  t.deepEqual(directory.newestBeside('front-1@10.0.0.1-cd'), { process, ageMs: 12, revision: 4 });
  t.is(directory.newestBeside('front-1@10.0.0.2-ab'), undefined);
  ['', process, `${process} x`, `${process} -1`, 'front-2@10.0.0.1-ab 3'].forEach((value) => {
    directory.apply(key, encodeProcess({ process, ageMs: 1 }), 5);
    directory.apply(key, value, 6);
    t.is(directory.newestBeside(process), undefined, value);
  });
});
