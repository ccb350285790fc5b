/**
 * Shares that exchange tasks while their owners have more changes to store than a few transactions hold.
 */
import test, { type ExecutionContext } from 'ava';

import { put, urgent } from '../fixtures/bulkSite.js';
import {
  SHORT_RUN_MS,
  SHORT_SIZE,
  slowStoreDown,
  startShortJobs,
} from '../fixtures/changeBacklog.js';
import {
  makeDividedSite,
  makeJob,
  makeStep,
  runUntil,
  type JobSite,
  type SiteEntry,
} from '../fixtures/jobSite.js';
import {
  drainHome,
  interruptTask,
  isIn,
  MOVING_JOB_ID,
  MOVING_TASK_ID,
  sendAway,
} from '../fixtures/movingTask.js';

/** Time within which an interrupted task runs again if there is room for it, in milliseconds. */
const PROMISED_MS = 6_000;

/** Jobs with a short task that only the other share can run. */
const FOREIGN_IDS = ['00000000000000c1', '00000000000000c2', '00000000000000c3'];

/** A label of the workers of the second share. */
const SECOND_LABEL = 'second';

/** A label of few workers. */
const RARE_LABEL = 'rare';

/** Makes a divided site that runs a long-running task of the first share there. */
const makeSite = async (step = makeStep({ longRunning: true })) => {
  const { site, owners } = await makeDividedSite({
    workers: 4,
    behave: (taskId) => ({
      size: SHORT_SIZE,
      durationMs: taskId === MOVING_TASK_ID ? Infinity : SHORT_RUN_MS,
    }),
  });
  site.configure([site.queue, urgent]);
  ['w1', 'w3'].forEach((id) => site.registerWorker(id, { labels: [SECOND_LABEL] }));
  site.registerWorker('w0', { labels: [RARE_LABEL] });
  site.putJobs([MOVING_JOB_ID], makeJob(step), 'dc0');
  await runUntil(site, () => isIn(site, 0));
  return { site, owners };
};

/** Gives the owner of a share the ends of many short jobs to store, each transaction of which takes long. */
const makeBacklog = async (site: JobSite, owner: SiteEntry, home: string): Promise<void> => {
  await startShortJobs(site, { home });
  slowStoreDown(owner);
  await site.run(SHORT_RUN_MS);
};

/** Checks that the task runs again in time in a share. */
const checkAway = async (t: ExecutionContext, site: JobSite, dataCentre: number): Promise<void> => {
  const fromMs = site.clock.monotonicMs();
  interruptTask(site);
  await site.run(3 * PROMISED_MS);
  const next = site.record.runsOf(MOVING_TASK_ID).find(({ startedMs }) => startedMs >= fromMs);
  const awayMs = Math.round((next?.startedMs ?? Infinity) - fromMs);
  t.log(`away for ${awayMs} ms`);
  t.true(isIn(site, dataCentre));
  t.true(awayMs <= PROMISED_MS, `away for ${awayMs} ms`);
  t.deepEqual(site.record.violations, []);
};

// Guards against the delegation of an interrupted task that waits until all changes of short jobs are stored (LOST).
test('should hand over an interrupted task while many changes wait to be stored', async (t) => {
  const { site, owners } = await makeSite();
  await makeBacklog(site, owners[0], 'dc0');
  drainHome(site);
  await checkAway(t, site, 1);
});

// Guards against the report of an interrupted task that goes home and waits until all changes of the other share's
// short jobs are stored (LOST).
test('should give back an interrupted task while many changes wait to be stored', async (t) => {
  const { site, owners } = await makeSite();
  await sendAway(site);
  await makeBacklog(site, owners[1], 'dc1');
  site.data.put('operator/evacuate/dc1', '');
  await checkAway(t, site, 0);
});

// Guards against the removal of a delegation that waits until all changes of short jobs are stored, while the start of
// its task at home waits for it (LOST).
test('should run a task that is back at home while many changes wait to be stored there', async (t) => {
  const { site, owners } = await makeSite();
  await sendAway(site);
  await makeBacklog(site, owners[0], 'dc0');
  site.data.put('operator/evacuate/dc1', '');
  await checkAway(t, site, 0);
});

// Guards against a new worker that gets nothing until the delegation of another job is stored, which waits behind all
// changes of short jobs (LOST).
test('should start an interrupted task on a new worker while delegations wait to be stored', async (t) => {
  const { site, owners } = await makeSite();
  await makeBacklog(site, owners[0], 'dc0');
  const foreign = makeStep({ size: SHORT_SIZE, requiredLabel: SECOND_LABEL });
  put(site, urgent, FOREIGN_IDS, makeJob(foreign), 'dc0');
  await site.run(700);
  // The long-running task may not leave: the other share is closed to it.
  site.data.put('operator/evacuate/dc1', '');
  drainHome(site);
  site.addWorker('w10');
  await checkAway(t, site, 0);
});

// Guards against an interrupted task that waits for room which another share does not tell of until all changes of its
// short jobs are stored (LOST).
test('should hand over an interrupted task to a new worker while many changes of its share wait', async (t) => {
  const { site, owners } = await makeSite(
    makeStep({ longRunning: true, requiredLabel: RARE_LABEL }),
  );
  await makeBacklog(site, owners[1], 'dc1');
  site.registerWorker('w0', { phase: 'draining', remainingMs: 60_000, labels: [RARE_LABEL] });
  site.addWorker('w5');
  site.registerWorker('w5', { labels: [RARE_LABEL] });
  await checkAway(t, site, 1);
});
