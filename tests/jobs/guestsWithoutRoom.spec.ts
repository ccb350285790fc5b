/**
 * Interrupted tasks beside another share that has room, but no worker that could run them.
 */
import test from 'ava';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { put } from '../fixtures/bulkSite.js';
import {
  makeDividedSite,
  makeJob,
  makeQueue,
  makeStep,
  runUntil,
  type JobSite,
} from '../fixtures/jobSite.js';
import {
  overload,
  SHORT_RUN_MS,
  sizeOf,
  urgent,
  WORKER_MILLI_CORES,
} from '../fixtures/overload.js';

const JOB_ID = '00000000000000a1';
const KEPT_ID = '00000000000000a2';
const OTHER_ID = '00000000000000a3';
const SMALL_ID = '00000000000000c1';
const TASK_ID = `${JOB_ID}.0.0.0`;

/** Label of the workers that may run the task. */
const LABEL = 'large-memory';
const OTHER_LABEL = 'fast-disk';

/** Size of a task that takes a whole worker. */
const WHOLE = sizeOf(WORKER_MILLI_CORES);
const SHORT_MILLI_CORES = 1_000;

/** Time within which an interrupted task has to run again once a worker has room for it, in milliseconds. */
const PROMISED_MS = 3_000;

/** Time for which the task waits before a worker with room comes, in milliseconds. */
const WAIT_MS = 9_000;

/** Makes a site of two data centres on which the tasks of some jobs take a whole worker and last. */
const makeSite = async (workers: number): Promise<JobSite> => {
  const { site } = await makeDividedSite({
    workers,
    milliCores: WORKER_MILLI_CORES,
    behave: (taskId) => {
      if (taskId.startsWith('00000000000000a')) return { size: WHOLE, durationMs: Infinity };
      const durationMs = taskId.startsWith(SMALL_ID) ? Infinity : SHORT_RUN_MS;
      return { size: sizeOf(SHORT_MILLI_CORES), durationMs };
    },
  });
  site.configure([site.queue, urgent]);
  return site;
};

const makeWhole = (changes: { readonly requiredLabel?: string; readonly count?: number } = {}) =>
  makeJob(makeStep({ longRunning: true, size: WHOLE, ...changes }));

/** Submits more short tasks to the second share than it has room for. */
const overloadSecond = (site: JobSite, durationMs: number): Promise<void> =>
  overload(site, SHORT_MILLI_CORES, durationMs, { home: 'dc1', workers: 3 });

/** Drains a worker, and ends its runs. */
const drain = async (site: JobSite, id: string, labels: readonly string[] = []): Promise<void> => {
  site.registerWorker(id, { phase: 'draining', remainingMs: 60_000, labels });
  await site.run(200);
  const worker = site.workers.get(id);
  worker?.activeRuns().forEach(({ taskId }) => worker.endRuns(taskId, 'failed'));
};

const lastRunOf = (site: JobSite, taskId: string) => site.record.runsOf(taskId).at(-1);

const countHandOvers = ({ data }: JobSite): number =>
  data.changes.filter(
    ({ key, value }) => key.startsWith(keysOfShare('dc1').receivedDelegationsPrefix) && value,
  ).length;

// Guards against a task that waits in a share whose workers with its label are full for good, while a worker with that
// label comes to its home (LOST).
test('should run an interrupted task at home once a worker with its label comes there', async (t) => {
  const site = await makeSite(6);
  ['w0', 'w1'].forEach((id) => site.registerWorker(id, { labels: [LABEL] }));
  ['w2', 'w4'].forEach((id) => site.registerWorker(id, { labels: [OTHER_LABEL] }));
  await site.run(500);
  site.putJobs([KEPT_ID], makeWhole({ requiredLabel: LABEL }), 'dc1');
  await site.run(1_000);
  site.putJobs([JOB_ID], makeWhole({ requiredLabel: LABEL }), 'dc0');
  site.putJobs([OTHER_ID], makeWhole({ requiredLabel: OTHER_LABEL, count: 2 }), 'dc0');
  await site.run(1_000);
  t.is(lastRunOf(site, TASK_ID)?.workerId, 'w0');
  await overloadSecond(site, 2_000);
  await drain(site, 'w0', [LABEL]);
  await overloadSecond(site, WAIT_MS);
  t.is(site.record.runsOf(TASK_ID).length, 1);
  site.addWorker('w6');
  site.registerWorker('w6', { labels: [LABEL] });
  const cameMs = site.clock.monotonicMs();
  await overloadSecond(site, WAIT_MS);
  const awayMs = (site.record.runsOf(TASK_ID)[1]?.startedMs ?? Infinity) - cameMs;
  t.true(awayMs <= PROMISED_MS, `runs again ${awayMs} ms after the worker came`);
  t.deepEqual(site.record.violations, []);
});

// Guards against a large task that waits in a share where smaller ones that last leave no worker room for it, while a
// worker comes to its home (LOST).
test('should run an interrupted task at home once a worker that is large enough comes there', async (t) => {
  const site = await makeSite(6);
  await site.run(500);
  const small = { size: sizeOf(SHORT_MILLI_CORES), count: 3, perWorkerLimit: 1 };
  site.putJobs([SMALL_ID], makeJob(makeStep({ longRunning: true, ...small })), 'dc1');
  site.putJobs([JOB_ID], makeWhole({ count: 3 }), 'dc0');
  await site.run(2_000);
  await overloadSecond(site, 2_000);
  const taskId = site.workers.get('w0')?.activeRuns()[0]?.taskId ?? '';
  await drain(site, 'w0');
  await overloadSecond(site, WAIT_MS);
  t.is(site.record.runsOf(taskId).length, 1);
  site.addWorker('w6');
  const cameMs = site.clock.monotonicMs();
  await overloadSecond(site, WAIT_MS);
  const awayMs = (site.record.runsOf(taskId)[1]?.startedMs ?? Infinity) - cameMs;
  t.true(awayMs <= PROMISED_MS, `runs again ${awayMs} ms after the worker came`);
  t.deepEqual(site.record.violations, []);
});

// Guards against a guest that is kept where no worker can run it, although its home has a free one all the while (LOST).
test('should give an interrupted guest back at once to a home with a free worker of its label', async (t) => {
  const site = await makeSite(8);
  ['w0', 'w1'].forEach((id) => site.registerWorker(id, { labels: [LABEL] }));
  site.data.put('operator/evacuate/dc0', '');
  await site.run(1_000);
  site.putJobs([JOB_ID], makeWhole({ requiredLabel: LABEL }), 'dc0');
  await runUntil(site, () => lastRunOf(site, TASK_ID)?.workerId === 'w1');
  site.data.remove('operator/evacuate/dc0');
  await site.run(2_000);
  site.registerWorker('w3', { labels: [LABEL] });
  await site.run(500);
  site.putJobs([KEPT_ID], makeWhole({ requiredLabel: LABEL }), 'dc1');
  await runUntil(site, () => lastRunOf(site, `${KEPT_ID}.0.0.0`)?.workerId === 'w3');
  const fromMs = site.clock.monotonicMs();
  await drain(site, 'w1', [LABEL]);
  await site.run(2 * PROMISED_MS);
  const next = lastRunOf(site, TASK_ID);
  t.is(next?.workerId, 'w0');
  const awayMs = (next?.startedMs ?? Infinity) - fromMs;
  t.true(awayMs <= PROMISED_MS, `away for ${awayMs} ms`);
  t.deepEqual(site.record.violations, []);
});

// Guards against tasks that move back and forth between their home and a share whose workers of the service all leave.
test('should hand no interrupted task to a share whose only worker of the service leaves', async (t) => {
  const site = await makeSite(6);
  const archive = makeQueue({ name: 'archive', prefix: '/archive/', service: 'archive' });
  site.configure([site.queue, archive]);
  ['w1', 'w3'].forEach((id) => site.registerWorker(id, { service: 'archive' }));
  await site.run(500);
  site.putJobs([JOB_ID], makeWhole({ count: 3 }), 'dc0');
  await site.run(1_000);
  put(site, archive, [KEPT_ID], makeWhole({ count: 2 }), 'dc1');
  await site.run(1_000);
  await drain(site, 'w5');
  await site.run(1_500);
  await drain(site, 'w0');
  await drain(site, 'w2');
  await site.run(12_000);
  t.is(countHandOvers(site), 0);
  t.deepEqual(site.record.violations, []);
});
