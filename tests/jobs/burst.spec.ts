/**
 * Bursts of far more tasks than an owner can start in one pass.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { CANCELLED_PREFIX, keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { makeJob, makeOwnedSite, makeStep, type JobSite } from '../fixtures/jobSite.js';

const JOBS = 150;
const TASKS_OF_JOB = 20;
const TASKS = JOBS * TASKS_OF_JOB;

/** Processor time of the owner for each start, in milliseconds. */
const ORDER_COST_MS = 1;

/**
 * Longest time until the runs of a cancelled job are told to stop, and the time that one stop takes,
 * in milliseconds.
 */
const CANCEL_MS = 4_000;
const STOP_MS = 100;

/**
 * Highest allowed delay of the event loop, in milliseconds. Calls time out after 600 ms, so it leaves
 * them most of their time.
 */
const MAX_DELAY_MS = 200;

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

const jobIds = Array.from({ length: JOBS }, (_each, index) => index.toString(16).padStart(16, '0'));

/** Makes a site whose owner gets all jobs at once, with a second entry that would take over. */
const makeBurst = async () => {
  const { site } = await makeOwnedSite({
    workers: 60,
    milliCores: 64_000,
    startCostMs: ORDER_COST_MS,
    behave: () => ({ size: SIZE, durationMs: 60_000 }),
  });
  site.start('b');
  await site.run(500);
  site.putJobs(jobIds, makeJob(makeStep({ count: TASKS_OF_JOB })));
  return site;
};

/**
 * Measures the longest delay of a timer, in milliseconds, until the returned function is called.
 */
const startDelayMeasurement = (site: JobSite) => {
  const stopped = new AbortController();
  let longestMs = 0;
  const measure = async (): Promise<void> => {
    while (!stopped.signal.aborted) {
      const dueMs = site.clock.monotonicMs() + 10;
      await site.clock.sleep(10, stopped.signal);
      longestMs = Math.max(longestMs, site.clock.monotonicMs() - dueMs);
    }
  };
  const running = measure();
  return async (): Promise<number> => {
    stopped.abort();
    await running;
    return longestMs;
  };
};

// Guards against an owner that loses its lease because starts keep it from renewing.
test('should keep its lease while thousands of tasks are to be started', async (t) => {
  const site = await makeBurst();
  const token = site.data.items.get(keysOfShare(WHOLE_SITE_SHARE_ID).owner)?.revision;
  await site.run(8_000);
  t.is(site.data.items.get(keysOfShare(WHOLE_SITE_SHARE_ID).owner)?.revision, token);
  t.deepEqual(site.record.violations, []);
});

// Guards against answers that wait unread until their calls have timed out.
test('should read answers in time while thousands of tasks are to be started', async (t) => {
  const site = await makeBurst();
  const stop = startDelayMeasurement(site);
  await site.run(8_000);
  t.true((await stop()) <= MAX_DELAY_MS);
});

// Guards against an owner that pauses while there are tasks it could start.
test('should start a burst within twice the time that its orders take', async (t) => {
  const site = await makeBurst();
  await site.run(2 * TASKS * ORDER_COST_MS);
  t.is(site.record.runs.length, TASKS);
  t.deepEqual(site.record.violations, []);
});

// Guards against runs of a cancelled job that go on because the owner is too busy to read its
// watch.
test('should stop a cancelled job in time while thousands of tasks are to be started', async (t) => {
  const { site } = await makeOwnedSite({
    workers: 60,
    milliCores: 64_000,
    startCostMs: 2 * ORDER_COST_MS,
    behave: () => ({ size: SIZE, durationMs: 60_000 }),
  });
  const cancelled = 'ffffffffffffffff';
  site.putJobs([cancelled], makeJob(makeStep({ count: TASKS_OF_JOB })));
  await site.run(500);
  t.is(site.record.runs.length, TASKS_OF_JOB);
  site.putJobs(jobIds, makeJob(makeStep({ count: TASKS_OF_JOB })));
  await site.clock.advance(5);
  site.data.put(CANCELLED_PREFIX + cancelled, String(site.clock.wallMs()));
  const lastMs = site.clock.monotonicMs() + CANCEL_MS + STOP_MS;
  await site.run(2 * CANCEL_MS);
  const runs = site.record.runs.filter(({ taskId }) => taskId.startsWith(cancelled));
  t.deepEqual(
    runs.filter(({ endedMs = Number.POSITIVE_INFINITY }) => endedMs > lastMs),
    [],
  );
});

// Guards against an owner whose pause between passes grows with the starts that it has just sent.
test('should keep up with starts that take half of the processor', async (t) => {
  const { site } = await makeOwnedSite({
    workers: 60,
    milliCores: 64_000,
    startCostMs: ORDER_COST_MS,
    behave: () => ({ size: SIZE, durationMs: 300 }),
  });
  const ids = jobIds.slice(0, 50);
  for (const id of ids) {
    site.putJobs([id], makeJob(makeStep({ count: 50, estimateMs: 300 })));
    await site.run(100);
  }
  await site.run(500);
  t.is(site.record.runs.length, ids.length * 50);
});
