/**
 * Owners with more changes to store than a few transactions hold.
 */
import test from 'ava';

import { put, urgent } from '../fixtures/bulkSite.js';
import {
  SHORT_RUN_MS,
  SHORT_SIZE,
  slowStoreDown,
  startShortJobs,
} from '../fixtures/changeBacklog.js';
import { makeJob, makeStep, runUntil, type JobSite, type SiteEntry } from '../fixtures/jobSite.js';
import {
  countRunning,
  LASTING_JOB_ID,
  LASTING_TASKS,
  makeSiteWithLastingTasks,
} from '../fixtures/lastingTasks.js';

/** Time within which an interrupted task runs again if there is room for it, in milliseconds. */
const PROMISED_MS = 6_000;

/** Time after its last run within which a task that lasts has to run again, in milliseconds. */
const LOST_MS = 9_000;

const LASTING_SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Another job whose tasks last. */
const NEW_JOB_ID = '00000000000000c1';

interface BusySite {
  readonly site: JobSite;
  readonly owner: SiteEntry;
  /** A worker that runs a task that lasts, and the task. */
  readonly workerId: string;
  readonly taskId: string;
}

/** Makes a site whose workers are full, and on which many short jobs have ended just now. */
const makeBusySite = async (): Promise<BusySite> => {
  const { site, owner } = await makeSiteWithLastingTasks({
    milliCores: 2_000,
    behave: (taskId) =>
      taskId.startsWith(LASTING_JOB_ID) || taskId.startsWith(NEW_JOB_ID)
        ? { size: LASTING_SIZE, durationMs: Infinity }
        : { size: SHORT_SIZE, durationMs: SHORT_RUN_MS },
  });
  site.configure([site.queue, urgent]);
  await site.run(500);
  await startShortJobs(site);
  slowStoreDown(...site.entries);
  await site.run(SHORT_RUN_MS);
  const worker = site.workers.get('w0');
  const run = worker?.activeRuns().find(({ taskId }) => taskId.startsWith(LASTING_JOB_ID));
  if (!worker || !run) throw new Error('no task runs on the first worker');
  return { site, owner, workerId: worker.id, taskId: run.taskId };
};

// Guards against a worker that gets nothing until all changes of short jobs are stored, while an interrupted task
// waits for its room (LOST).
test('should start an interrupted task on a new worker while many changes wait to be stored', async (t) => {
  const { site, taskId } = await makeBusySite();
  site.workers.forEach((worker) => worker.endRuns(taskId, 'failed'));
  const fromMs = site.clock.monotonicMs();
  [...site.workers.keys()].forEach((id) =>
    site.registerWorker(id, { phase: 'draining', remainingMs: 60_000 }),
  );
  site.addWorker('w9');
  await site.run(3 * PROMISED_MS);
  const next = site.record.runsOf(taskId).at(-1);
  t.is(next?.workerId, 'w9');
  const awayMs = Math.round((next?.startedMs ?? Infinity) - fromMs);
  t.log(`away for ${awayMs} ms`);
  t.true(awayMs <= PROMISED_MS, `away for ${awayMs} ms`);
  t.deepEqual(site.record.violations, []);
});

// Guards against a successor that waits for the longest lease because the record of when all leases end was
// behind the changes of short jobs (LOST).
test('should store when all leases end before a planned stop while many changes wait to be stored', async (t) => {
  const { site, owner, workerId, taskId } = await makeBusySite();
  site.addWorker('w9');
  site.loseWorker(workerId);
  const fromMs = site.clock.monotonicMs();
  owner.stop();
  await site.run(2 * LOST_MS);
  const awayMs = Math.round((site.record.runsOf(taskId).at(-1)?.startedMs ?? Infinity) - fromMs);
  t.log(`away for ${awayMs} ms`);
  t.true(awayMs > 0 && awayMs <= LOST_MS, `away for ${awayMs} ms`);
  t.is(countRunning(site), LASTING_TASKS);
  t.deepEqual(site.record.violations, []);
});

// Guards against a successor that waits for a worker which never had the task, because the first place of the task was
// behind the changes of short jobs (LOST).
test('should know at a takeover where a task first ran while many changes wait to be stored', async (t) => {
  const { site, owner, workerId } = await makeBusySite();
  site.addWorker('w9');
  site.addWorker('w10');
  await site.run(500);
  const taskId = `${NEW_JOB_ID}.0.0.0`;
  put(site, urgent, [NEW_JOB_ID], makeJob(makeStep({ longRunning: true, size: LASTING_SIZE })));
  await runUntil(site, () => site.record.runsOf(taskId).length > 0);
  await site.run(3_000);
  const [first] = site.record.runsOf(taskId);
  t.not(first?.workerId, workerId);
  site.loseWorker(workerId);
  site.workers.forEach((worker) => worker.endRuns(taskId, 'failed'));
  const fromMs = site.clock.monotonicMs();
  owner.kill();
  site.entries.forEach(({ store }) => Object.assign(store, { latencyMs: () => 2 }));
  await site.run(2 * LOST_MS);
  const awayMs = Math.round((site.record.runsOf(taskId).at(-1)?.startedMs ?? Infinity) - fromMs);
  t.log(`away for ${awayMs} ms`);
  t.true(awayMs > 0 && awayMs <= LOST_MS, `away for ${awayMs} ms`);
  t.deepEqual(site.record.violations, []);
});
