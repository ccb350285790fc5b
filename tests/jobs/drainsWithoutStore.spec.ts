/**
 * Long-running tasks on draining workers while the store does not answer, and when their owner changes.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const SERVING = '00000000000000b1';
const TASK = `${SERVING}.0.0.0`;
const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Longest time for which a task is away when it moves, in milliseconds. */
const MAX_MOVE_MS = 1_000;

/** Creates a site with a long-running task on a worker, and one other worker that is full for 4 s. */
const makeFullSite = async () => {
  const { site, owner } = await makeOwnedSite({
    behave: (taskId) => ({
      size: taskId.startsWith(SERVING) ? SIZE : { ...SIZE, milliCores: 4_000 },
      durationMs: taskId.startsWith(SERVING) ? Infinity : 4_000,
    }),
  });
  await site.submit(owner, SERVING, makeJob(makeStep({ longRunning: true })));
  await site.run(500);
  const size = { ...SIZE, milliCores: 4_000 };
  await site.submit(owner, ID, makeJob(makeStep({ size, estimateMs: 4_000 })));
  await site.run(500);
  const drain = (remainingMs: number): void => {
    const [lasting] = site.record.runsOf(TASK);
    site.registerWorker(lasting?.workerId ?? '', { phase: 'draining', remainingMs });
  };
  return { site, owner, drain };
};

// Guards against a run that is stopped for a start which has to wait for the end of an outage.
test('should let a task stay on a draining worker while its next place cannot be stored', async (t) => {
  const { site, drain } = await makeFullSite();
  drain(12_000);
  await site.run(1_000);
  const setCutOff = (isCutOff: boolean): void =>
    site.entries.forEach(({ store }) => Object.assign(store, { isCutOff }));
  setCutOff(true);
  await site.run(6_000);
  setCutOff(false);
  await site.run(6_000);
  const [first, second] = site.record.runsOf(TASK);
  t.true((second?.startedMs ?? Infinity) - (first?.endedMs ?? 0) <= MAX_MOVE_MS);
  t.deepEqual(site.record.violations, []);
});

// Guards against a wave of tasks that are away because the owner which saw the announcement is gone.
test('should let a task stay on a draining worker until another has room when its owner changes', async (t) => {
  const { site, owner, drain } = await makeFullSite();
  site.start('b');
  await site.run(500);
  const size = { ...SIZE, milliCores: 4_000 };
  site.putJobs(['00000000000000a2'], makeJob(makeStep({ size, estimateMs: 4_000 })));
  drain(20_000);
  await site.run(1_000);
  owner.kill();
  await site.run(14_000);
  const [first, second] = site.record.runsOf(TASK);
  t.true((second?.startedMs ?? Infinity) - (first?.endedMs ?? 0) <= MAX_MOVE_MS);
  t.deepEqual(site.record.violations, []);
});
