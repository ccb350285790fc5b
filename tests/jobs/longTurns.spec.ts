/**
 * Orders to workers in large numbers that must not block the owner's event loop.
 */
import test from 'ava';
import { CANCELLED_PREFIX } from 'samphirenotch/jobs/store/jobKeys.js';

import { makeJob, makeOwnedSite, makeStep, type JobSite } from '../fixtures/jobSite.js';

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Processor time of the owner for each order, in milliseconds. */
const ORDER_COST_MS = 1;

/**
 * Highest allowed delay of the event loop, in milliseconds. Calls time out after 600 ms, so it leaves
 * them most of their time.
 */
const MAX_DELAY_MS = 200;

const makeIds = (count: number): readonly string[] =>
  Array.from({ length: count }, (_each, index) => index.toString(16).padStart(16, '0'));

/** Advances the clock and returns the longest delay of a timer meanwhile, in milliseconds. */
const longestDelay = async (site: JobSite, durationMs: number): Promise<number> => {
  const stopped = new AbortController();
  let longestMs = 0;
  const measure = async (): Promise<void> => {
    while (!stopped.signal.aborted) {
      const dueMs = site.clock.monotonicMs() + 10;
      await site.clock.sleep(10, stopped.signal);
      longestMs = Math.max(longestMs, site.clock.monotonicMs() - dueMs);
    }
  };
  const measured = measure();
  await site.run(durationMs);
  stopped.abort();
  await measured;
  return longestMs;
};

// Guards against an owner that starts one task of every starved job without yielding.
test('should read answers in time while many jobs of fillers are starved', async (t) => {
  const { site } = await makeOwnedSite({
    workers: 40,
    milliCores: 64_000,
    startCostMs: ORDER_COST_MS,
    behave: () => ({ size: { ...SIZE, milliCores: 0, memoryMb: 10 }, durationMs: 60_000 }),
  });
  // No worker has that many unused cores.
  const size = { milliCores: 70_000, memoryMb: 10, accelerators: 0 };
  site.putJobs(makeIds(500), makeJob(makeStep({ filler: true, image: 'loud', size })));
  t.true((await longestDelay(site, 5_000)) <= MAX_DELAY_MS);
  t.is(site.record.runs.length, 500);
});

// Guards against an owner that starts the copies of all lagging tasks without yielding.
test('should read answers in time while many tasks lag and get speculative copies', async (t) => {
  const { site } = await makeOwnedSite({
    workers: 40,
    milliCores: 64_000,
    behave: () => ({ size: SIZE, durationMs: 4_000 }),
  });
  site.record.copiesAllowed = true;
  [...site.workers.values()].slice(0, 16).forEach((worker) => {
    const slow = worker;
    slow.slowdown = 10;
  });
  site.putJobs(makeIds(1), makeJob(makeStep({ count: 1_000, speculative: true })));
  await site.run(1_000);
  site.startCostMs = ORDER_COST_MS;
  t.true((await longestDelay(site, 5_000)) <= MAX_DELAY_MS);
  t.true(site.record.runs.length > 1_300);
});

// Guards against an owner that stops all runs of all cancelled jobs without yielding.
test('should read answers in time while many jobs are cancelled at once', async (t) => {
  const { site } = await makeOwnedSite({
    workers: 40,
    milliCores: 64_000,
    stopCostMs: ORDER_COST_MS,
    behave: () => ({ size: SIZE, durationMs: 60_000 }),
  });
  const ids = makeIds(50);
  site.putJobs(ids, makeJob(makeStep({ count: 20 })));
  await site.run(3_000);
  t.is(site.record.runs.length, 1_000);
  const writes = ids.map((id) => ({ key: CANCELLED_PREFIX + id, value: '0' }));
  site.data.apply({ expectations: [], writes, removals: [] });
  t.true((await longestDelay(site, 3_000)) <= MAX_DELAY_MS);
});

// Guards against an owner that evicts the runs of a whole data centre without yielding.
test('should read answers in time while many workers drain at once', async (t) => {
  const { site } = await makeOwnedSite({
    workers: 40,
    milliCores: 64_000,
    stopCostMs: ORDER_COST_MS,
    behave: () => ({ size: SIZE, durationMs: 60_000 }),
  });
  site.putJobs(makeIds(50), makeJob(makeStep({ count: 20, longRunning: true })));
  await site.run(3_000);
  [...site.workers.keys()]
    .slice(0, 20)
    .forEach((id) => site.registerWorker(id, { phase: 'draining', remainingMs: 2_000 }));
  t.true((await longestDelay(site, 3_000)) <= MAX_DELAY_MS);
});
