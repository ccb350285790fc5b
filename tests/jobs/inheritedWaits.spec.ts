/**
 * Long-running tasks that waited for their first start when another entry took the site over.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep, type JobSite } from '../fixtures/jobSite.js';
import {
  overload,
  SHORT_RUN_MS,
  sizeOf,
  urgent,
  WORKER_MILLI_CORES,
} from '../fixtures/overload.js';

const LASTING = '00000000000000a1';
const WORKERS = 20;
const TASK_MILLI_CORES = 1_000;
const SIZE = sizeOf(TASK_MILLI_CORES);

/** Number of long-running tasks: they would take all room. */
const LASTING_TASKS = (WORKERS * WORKER_MILLI_CORES) / TASK_MILLI_CORES;

/** Time after the take-over for which starts are counted, in milliseconds. */
const OBSERVED_MS = 10_000;

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

/** Makes a full site on which long-running tasks wait for their first start. */
const makeWaitingSite = async () => {
  const { site, owner } = await makeOwnedSite({
    workers: WORKERS,
    milliCores: WORKER_MILLI_CORES,
    behave: (taskId) => ({
      size: SIZE,
      durationMs: taskId.startsWith(LASTING) ? Infinity : SHORT_RUN_MS,
    }),
  });
  site.configure([site.queue, urgent]);
  site.start('b');
  await overload(site, TASK_MILLI_CORES, 3_000);
  const step = makeStep({ count: LASTING_TASKS, longRunning: true, size: SIZE });
  await site.submit(owner, LASTING, makeJob(step));
  await overload(site, TASK_MILLI_CORES, 2_000);
  return { site, owner };
};

// Guards against long-running tasks that take the room of urgent ones under one owner.
test('should go on starting urgent tasks while long-running ones wait for their first start', async (t) => {
  const { site } = await makeWaitingSite();
  const sinceMs = site.clock.monotonicMs();
  await overload(site, TASK_MILLI_CORES, OBSERVED_MS);
  const starts = urgentStartsPerSecond(site, sinceMs);
  t.true(Math.min(...starts) >= WORKERS / 2, String(starts));
});

// Guards against a successor that takes tasks that have never run for interrupted ones, and gives them all room
// before urgent ones.
test('should go on starting urgent tasks after a take-over while others wait for their first start', async (t) => {
  const { site, owner } = await makeWaitingSite();
  owner.kill();
  const killedMs = site.clock.monotonicMs();
  await overload(site, TASK_MILLI_CORES, 10_000);
  const first = site.record.runs.find(({ startedMs }) => startedMs > killedMs + 500);
  const sinceMs = first?.startedMs ?? Infinity;
  await overload(site, TASK_MILLI_CORES, OBSERVED_MS + 1_000);
  const starts = urgentStartsPerSecond(site, sinceMs);
  t.true(Math.min(...starts) >= WORKERS / 2, String(starts));
});
