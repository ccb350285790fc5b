/**
 * Many workers that drain at once, while others have room for what they run.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep, type JobSite } from '../fixtures/jobSite.js';

const DRAINING = 20;
const TASKS_EACH = 4;
const OTHERS = 40;
const NOTICE_MS = 7_000;

/** Time before a worker leaves at which its long-running runs are stopped at the latest, in milliseconds. */
const LEAVE_MARGIN_MS = 1_500;

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

const MOVED_ID = '00000000000000a1';
const RESIDENT_ID = '00000000000000a2';

const drainingIds = Array.from({ length: DRAINING }, (_, at) => `w${at}`);

const drainAll = (site: JobSite): void =>
  drainingIds.forEach((id) =>
    site.registerWorker(id, { phase: 'draining', remainingMs: NOTICE_MS }),
  );

const countMoved = (site: JobSite): number =>
  [...site.workers.values()]
    .filter(({ id }) => !drainingIds.includes(id))
    .flatMap((worker) => worker.activeRuns())
    .filter(({ taskId }) => taskId.startsWith(MOVED_ID)).length;

/** Makes a site of full workers that are about to drain and others that have room beside a run each. */
const makeWaveSite = async (): Promise<JobSite> => {
  const { site, owner } = await makeOwnedSite({
    workers: DRAINING,
    behave: () => ({ size: SIZE, durationMs: Infinity }),
  });
  const lasting = { longRunning: true, size: SIZE };
  const moved = makeStep({ ...lasting, count: DRAINING * TASKS_EACH });
  await site.submit(owner, MOVED_ID, makeJob(moved));
  await site.run(500);
  for (let at = 0; at < OTHERS; at += 1) site.addWorker(`w${DRAINING + at}`);
  await site.run(500);
  await site.submit(owner, RESIDENT_ID, makeJob(makeStep({ ...lasting, count: OTHERS })));
  await site.run(1_000);
  return site;
};

// Guards against moves at a constant rate: what is left when the notice ends is stopped without a place, in
// one wave (LOST where the room is taken meanwhile).
test('should move all tasks that others have room for before their workers must be left', async (t) => {
  const site = await makeWaveSite();
  drainAll(site);
  await site.run(NOTICE_MS - LEAVE_MARGIN_MS);
  t.is(countMoved(site), DRAINING * TASKS_EACH);
  t.deepEqual(site.record.violations, []);
});
