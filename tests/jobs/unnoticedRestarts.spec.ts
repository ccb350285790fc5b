/**
 * Workers that start again under their id, and get orders before their owner has noticed it.
 */
import test from 'ava';

import { JobSite, makeJob, makeStep, runUntil, type SiteEntry } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Longest lease that the workers accept, in milliseconds: longer than an owner grants. */
const HOLD_LIMIT_MS = 10_000;

/** Time in which an owner notices a restart by a poll and proves that it has no successor, in milliseconds. */
const NOTICED_AFTER_MS = 1_900;

/** Time until a restarted worker is in the directory again, in milliseconds. */
const REGISTRATION_DELAY_MS = 2_000;

/** Makes a site with an owner and a worker. */
const makeSite = async () => {
  const site = new JobSite({
    workers: 1,
    dataCentres: 1,
    milliCores: 8_000,
    holdLimitMs: HOLD_LIMIT_MS,
    behave: () => ({ size: SIZE, durationMs: 40_000 }),
  });
  site.registrationDelayMs = REGISTRATION_DELAY_MS;
  const owner = site.start('a');
  // No lease is left of the time before the owner.
  await site.run(HOLD_LIMIT_MS + 2_000);
  const worker = site.workers.get('w0');
  if (!worker) throw new Error('The site has no worker.');
  return { site, owner, worker };
};

/** Starts a job and waits until its task runs. */
const startTask = async (site: JobSite): Promise<void> => {
  site.putJobs([ID], makeJob(makeStep({ checkpointing: true })));
  await runUntil(site, () => site.record.runs.length > 0);
};

/** Parts a worker from an owner that reaches another one. */
const replaceByAnother = (site: JobSite, { client }: SiteEntry): void => {
  site.cutFromWorkers(client, ['w0']);
  site.addWorker('w1');
};

// Guards against a task that runs twice: until the owner notices the restart, the worker shortens lease ends
// on the clock of its former incarnation to the longest lease that it accepts.
test('should count the lease that a restarted worker had before its first report', async (t) => {
  const { site, owner, worker } = await makeSite();
  worker.restart();
  await startTask(site);
  await site.run(NOTICED_AFTER_MS);
  replaceByAnother(site, owner);
  await site.run(20_000);
  t.deepEqual(site.record.violations, []);
  t.is(site.record.runs.length, 2);
});

// Guards against the same by a successor that meets the worker while it has such a lease.
test('should count the lease that a restarted worker has got from a former owner', async (t) => {
  const { site, owner, worker } = await makeSite();
  worker.restart();
  await startTask(site);
  const successor = site.start('b');
  owner.stop();
  await runUntil(site, () => successor.entry.status().terms.length > 0);
  await runUntil(site, () => successor.entry.status().workers.some(({ runs }) => runs > 0));
  replaceByAnother(site, successor);
  await site.run(20_000);
  t.deepEqual(site.record.violations, []);
  t.is(site.record.runs.length, 2);
});
