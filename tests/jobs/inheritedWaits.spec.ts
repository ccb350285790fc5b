/**
 * Long-running tasks that waited for their first start when another entry took the site over.
 */
import test from 'ava';

import { put } from '../fixtures/bulkSite.js';
import { makeJob, makeOwnedSite, makeQueue, makeStep, type JobSite } from '../fixtures/jobSite.js';

const LASTING = '00000000000000a1';
const WORKERS = 20;
const WORKER_MILLI_CORES = 4_000;
const TASK_MILLI_CORES = 1_000;
const SHORT_RUN_MS = 1_000;
const STEP_MS = 50;

/** Short tasks arrive at this multiple of the rate at which the workers can run them. */
const OVERLOAD = 1.5;

/** Time after the take-over for which starts are counted, in milliseconds. */
const OBSERVED_MS = 10_000;

const urgent = makeQueue({ name: 'urgent', prefix: '/urgent/', priority: 0 });

const size = { milliCores: TASK_MILLI_CORES, memoryMb: 100, accelerators: 0 };

const overload = async (site: JobSite, durationMs: number): Promise<void> => {
  const atOnce = (WORKERS * WORKER_MILLI_CORES) / TASK_MILLI_CORES;
  const perStep = (OVERLOAD * atOnce * STEP_MS) / SHORT_RUN_MS;
  const startMs = site.clock.monotonicMs();
  let submitted = 0;
  for (let at = STEP_MS; at <= durationMs; at += STEP_MS) {
    for (; submitted < (perStep * at) / STEP_MS; submitted += 1) {
      const id = (Math.round(startMs) * 1_000 + submitted).toString(16).padStart(16, 'b');
      put(site, urgent, [id], makeJob(makeStep({ size })));
    }
    await site.run(STEP_MS);
  }
};

const urgentStartsPerSecond = (site: JobSite, sinceMs: number): readonly number[] =>
  Array.from(
    { length: OBSERVED_MS / 1_000 },
    (_, index) =>
      site.record.runs.filter(
        ({ taskId, startedMs }) =>
          !taskId.startsWith(LASTING) &&
          startedMs > sinceMs + index * 1_000 &&
          startedMs <= sinceMs + (index + 1) * 1_000,
      ).length,
  );

const makeWaitingSite = async (lives: number) => {
  const { site, owner } = await makeOwnedSite({
    workers: WORKERS,
    milliCores: WORKER_MILLI_CORES,
    behave: (taskId) => ({
      size,
      durationMs: taskId.startsWith(LASTING) ? Infinity : SHORT_RUN_MS,
    }),
  });
  site.configure([site.queue, urgent]);
  site.start('b');
  await overload(site, 3_000);
  await site.submit(owner, LASTING, makeJob(makeStep({ count: lives, longRunning: true, size })));
  await overload(site, 2_000);
  return { site, owner };
};

const LASTING_TASKS = 80;

// Shows what the same site does under one owner.
test('should go on starting urgent tasks while long-running ones wait for their first start', async (t) => {
  const { site } = await makeWaitingSite(LASTING_TASKS);
  const sinceMs = site.clock.monotonicMs();
  await overload(site, OBSERVED_MS);
  const starts = urgentStartsPerSecond(site, sinceMs);
  t.true(Math.min(...starts) >= WORKERS / 2, String(starts));
});

// Guards against a successor that takes tasks that have never run for interrupted ones, and gives them all room
// before urgent ones.
test('should go on starting urgent tasks after a take-over while others wait for their first start', async (t) => {
  const { site, owner } = await makeWaitingSite(LASTING_TASKS);
  owner.kill();
  const killedMs = site.clock.monotonicMs();
  await overload(site, 10_000);
  const first = site.record.runs.find(({ startedMs }) => startedMs > killedMs + 500);
  const sinceMs = first?.startedMs ?? Infinity;
  await overload(site, OBSERVED_MS + 1_000);
  const starts = urgentStartsPerSecond(site, sinceMs);
  t.true(Math.min(...starts) >= WORKERS / 2, String(starts));
});
