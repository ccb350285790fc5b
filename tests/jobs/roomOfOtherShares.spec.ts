/**
 * Interrupted tasks of a share without room, beside another share whose short tasks ask for more room than it has.
 */
import test, { type ExecutionContext } from 'ava';

import { makeDividedSite, makeJob, makeStep, type JobSite } from '../fixtures/jobSite.js';
import {
  overload,
  SHORT_RUN_MS,
  sizeOf,
  urgent,
  WORKER_MILLI_CORES,
} from '../fixtures/overload.js';

const LASTING = '00000000000000a1';
const MILLI_CORES = 1_000;

/** Workers of each share at first. */
const WORKERS_PER_SHARE = 6;

/** Long-running tasks that fill the first share. */
const LASTING_TASKS = (WORKERS_PER_SHARE * WORKER_MILLI_CORES) / MILLI_CORES;

/** Workers of the first share that drain: a third of them. */
const DRAINED = ['w0', 'w2'];

/** Time between two workers that come to the second share, in milliseconds. */
const NEW_WORKER_INTERVAL_MS = 700;

/** Time within which a long-running task runs again if there is room for it, in milliseconds. */
const PROMISED_MS = 6_000;

/** Submits more short tasks to the second share than it has room for, also as it grows. */
const overloadSecond = (site: JobSite, durationMs: number): Promise<void> =>
  overload(site, MILLI_CORES, durationMs, { home: 'dc1', workers: 2 * WORKERS_PER_SHARE });

/** Makes a site whose first share is full of tasks that last, and whose second one is full of short ones. */
const makeFullSite = async (): Promise<JobSite> => {
  const { site } = await makeDividedSite({
    workers: 2 * WORKERS_PER_SHARE,
    milliCores: WORKER_MILLI_CORES,
    behave: (taskId) => ({
      size: sizeOf(MILLI_CORES),
      durationMs: taskId.startsWith(LASTING) ? Infinity : SHORT_RUN_MS,
    }),
  });
  site.configure([site.queue, urgent]);
  const step = makeStep({ count: LASTING_TASKS, longRunning: true, size: sizeOf(MILLI_CORES) });
  site.putJobs([LASTING], makeJob(step), 'dc0');
  await site.run(1_000);
  await overloadSecond(site, 3_000);
  return site;
};

/** Drains a third of the first share at once, and returns the tasks that are interrupted. */
const interrupt = (site: JobSite): readonly string[] =>
  DRAINED.flatMap((id) => {
    site.registerWorker(id, { phase: 'draining', remainingMs: 60_000 });
    const worker = site.workers.get(id);
    const taskIds = worker?.activeRuns().map(({ taskId }) => taskId) ?? [];
    taskIds.forEach((taskId) => worker?.endRuns(taskId, 'failed'));
    return taskIds;
  });

/** Checks that all tasks run again in time after they were interrupted. */
const checkAway = (
  t: ExecutionContext,
  site: JobSite,
  taskIds: readonly string[],
  interruptedMs: number,
): void => {
  const awayMs = taskIds.map((taskId) => {
    const next = site.record.runsOf(taskId).find(({ startedMs }) => startedMs > interruptedMs);
    return Math.round((next?.startedMs ?? Infinity) - interruptedMs);
  });
  t.log(`away for ${awayMs.join(', ')} ms`);
  t.true(
    awayMs.every((each) => each <= PROMISED_MS),
    `away for ${awayMs.join(', ')} ms`,
  );
};

// Guards against interrupted tasks of a share without room that wait for as long as another share starts its own
// short tasks in all the room that becomes free or comes there (LOST).
test('should run interrupted tasks again on new workers of a share that is full of short tasks', async (t) => {
  const site = await makeFullSite();
  const taskIds = interrupt(site);
  const interruptedMs = site.clock.monotonicMs();
  t.is(taskIds.length, (DRAINED.length * WORKER_MILLI_CORES) / MILLI_CORES);
  for (let at = 0, next = 4 * WORKERS_PER_SHARE + 1; at < 2 * PROMISED_MS; next += 2) {
    site.addWorker(`w${next}`);
    await overloadSecond(site, NEW_WORKER_INTERVAL_MS);
    at += NEW_WORKER_INTERVAL_MS;
  }
  checkAway(t, site, taskIds, interruptedMs);
  t.deepEqual(site.record.violations, []);
});

// Guards against interrupted tasks of a share without room that are owed nothing of the room which the short tasks of
// another share leave in turn (LOST).
test('should run interrupted tasks again in the room that short tasks of another share leave', async (t) => {
  const site = await makeFullSite();
  const taskIds = interrupt(site);
  const interruptedMs = site.clock.monotonicMs();
  await overloadSecond(site, 2 * PROMISED_MS);
  checkAway(t, site, taskIds, interruptedMs);
  t.deepEqual(site.record.violations, []);
});
