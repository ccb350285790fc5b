/**
 * Owners that are lost after each change of a series with which tasks move between shares, while changes of other jobs
 * wait. A transaction holds one change, so that a successor finds each state that the order of changes allows.
 */
import test, { type ExecutionContext } from 'ava';
import { ENDED_PREFIX, keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

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

/** A short task of the same job. */
const SHORT_TASK = `${MOVING_JOB_ID}.0.1.0`;

/** Another job, with one task. */
const OTHER_ID = '00000000000000a2';
const OTHER_TASK = `${OTHER_ID}.0.0.0`;

/** Duration of the short task, in milliseconds. */
const SHORT_TASK_MS = 4_000;

/** Short jobs of each share, whose ends wait to be stored. */
const SHORT_JOBS = 40;

/** Entries of a transaction with one change beside the journal key. */
const ENTRIES_OF_ONE_CHANGE = 3;

/** A label of the workers of the second share. */
const SECOND_LABEL = 'second';

/** Labels of workers that only short jobs, a task or another one may use. */
const SHORT_LABEL = 'short';
const TASK_LABEL = 'task';
const OTHER_LABEL = 'other';

/** Time within which all changes of a move are stored, also behind those of short jobs, in milliseconds. */
const STORED_WITHIN_MS = 30_000;

type Shares = 'home' | 'other';

interface MovingSite {
  readonly site: JobSite;
  readonly owners: Readonly<Record<Shares, SiteEntry>>;
}

const lastOf = (site: JobSite, taskId: string) => site.record.runsOf(taskId).at(-1);

/** Makes a divided site with two entries for each share, which runs a long-running task of the first share there. */
const makeSite = async (steps = [makeStep({ longRunning: true })]): Promise<MovingSite> => {
  const {
    site,
    owners: [home, other],
  } = await makeDividedSite({
    workers: 4,
    behave: (taskId) => {
      if (taskId === MOVING_TASK_ID) return { size: SHORT_SIZE, durationMs: Infinity };
      return { size: SHORT_SIZE, durationMs: taskId === SHORT_TASK ? SHORT_TASK_MS : SHORT_RUN_MS };
    },
  });
  site.start('c', false, 1, 'dc0');
  site.start('d', false, 1, 'dc1');
  site.configure([site.queue, urgent]);
  ['w1', 'w3'].forEach((id) => site.registerWorker(id, { labels: [SECOND_LABEL] }));
  await site.run(500);
  site.putJobs([MOVING_JOB_ID], makeJob(...steps), 'dc0');
  await runUntil(site, () => isIn(site, 0));
  return { site, owners: { home, other } };
};

/** Gives the owners the ends of short jobs to store, one a transaction, each of which takes long. */
const makeBacklog = async ({ site, owners: { home, other } }: MovingSite): Promise<void> => {
  await startShortJobs(site, { home: 'dc0', count: SHORT_JOBS });
  slowStoreDown(home, other);
  [home, other].forEach(({ store }) =>
    Object.assign(store, { maximumTransactionEntries: ENTRIES_OF_ONE_CHANGE }),
  );
  await site.run(SHORT_RUN_MS);
};

/** Loses an owner as soon as some changes of the job are stored, and checks that its tasks are as they should be. */
const checkLoss = async (
  t: ExecutionContext,
  { site, owners }: MovingSite,
  lost: Shares,
  changes: number,
): Promise<void> => {
  const from = site.data.revision;
  const stored = () =>
    site.data.changes.filter(({ key, revision }) => revision > from && key.includes(MOVING_JOB_ID));
  for (let at = 0; at < STORED_WITHIN_MS && stored().length < changes; at += 10) {
    await site.clock.advance(10);
  }
  t.is(stored().length, changes);
  const message = `${lost} after ${stored().map(({ key, value }) => `${value ? '+' : '-'}${key}`)}`;
  owners[lost].kill();
  // The tasks that a successor takes to be unfinished can run.
  site.data.remove('operator/evacuate/dc1');
  await site.run(30_000);
  t.deepEqual(site.record.violations, [], message);
  t.is(lastOf(site, MOVING_TASK_ID)?.endedMs, undefined, message);
  const shortRuns = site.record.runsOf(SHORT_TASK);
  t.is(shortRuns.filter(({ kind }) => kind !== 'done').length, 0, message);
  t.true(shortRuns.length <= 1, message);
};

/** Loses an owner after each of the changes of a move. */
const checkLosses = async (
  t: ExecutionContext,
  begin: () => Promise<MovingSite>,
  lost: Shares,
  count: number,
): Promise<void> => {
  for (let changes = 1; changes <= count; changes += 1) {
    await checkLoss(t, await begin(), lost, changes);
  }
};

/** Progress, the delegation at its home and at the other share, the report of its start. */
const HAND_OVER_CHANGES = 4;

/** Interrupts a task whose share has no room for it. */
const handOver = async (): Promise<MovingSite> => {
  const made = await makeSite();
  await makeBacklog(made);
  drainHome(made.site);
  interruptTask(made.site);
  return made;
};

/** The report, progress, and the removal of the delegation at its home, at the other share and of its report. */
const GIVE_BACK_CHANGES = 5;

/** Interrupts a task in the other share, which has no room for it any more. */
const giveBack = async (): Promise<MovingSite> => {
  const made = await makeSite();
  await sendAway(made.site);
  await makeBacklog(made);
  made.site.data.put('operator/evacuate/dc1', '');
  interruptTask(made.site);
  return made;
};

/** Progress, and the removal of the delegation and its report. */
const END_CHANGES = 4;

/** Interrupts a task at home just after the other share has reported the end of another task of its job. */
const endElsewhere = async (): Promise<MovingSite> => {
  const made = await makeSite([
    makeStep({ longRunning: true }),
    makeStep({ size: SHORT_SIZE, requiredLabel: SECOND_LABEL }),
  ]);
  const { site } = made;
  await runUntil(site, () => isIn(site, 1, SHORT_TASK));
  await site.run(1_000);
  site.data.put('operator/evacuate/dc1', '');
  await makeBacklog(made);
  await runUntil(site, () =>
    [...site.data.items.values()].some(
      ({ key, value }) => key.includes('/reported/') && value.includes('"d"]'),
    ),
  );
  await site.run(150);
  const workerId = lastOf(site, MOVING_TASK_ID)?.workerId ?? '';
  site.registerWorker(workerId, { phase: 'draining', remainingMs: 60_000 });
  interruptTask(site);
  return made;
};

for (const lost of ['home', 'other'] as const) {
  // Guards against a task that runs in both shares or in none (TWICE, LOST) if its delegation is stored before changes
  // of other jobs.
  test(`should run a task once that is handed over, if the owner of ${lost} is lost`, (t) =>
    checkLosses(t, handOver, lost, HAND_OVER_CHANGES));

  // Guards against the same if its report, its end at the other share and the removal of its delegation are.
  test(`should run a task once that is given back, if the owner of ${lost} is lost`, (t) =>
    checkLosses(t, giveBack, lost, GIVE_BACK_CHANGES));

  // Guards against a delegation that is removed before the end of its task is stored, since the place of another task
  // of the job puts the progress behind that (TWICE).
  test(`should not run a task again that was done elsewhere, if the owner of ${lost} is lost`, (t) =>
    checkLosses(t, endElsewhere, lost, END_CHANGES));
}

// Guards against the crash of a trial that neither the record of watched runs nor a delegation shows, since the record
// overtakes the delegation (BUDGET).
test('should count the crash of a trial whose task is handed over while many changes wait', async (t) => {
  const { site, owners } = await makeDividedSite({
    workers: 12,
    replacesCrashed: true,
    behave: (taskId) => ({
      size: SHORT_SIZE,
      durationMs: SHORT_RUN_MS,
      crashes: taskId === MOVING_TASK_ID || taskId === OTHER_TASK,
    }),
  });
  const [home] = owners;
  site.start('c', false, 1, 'dc0');
  site.configure([site.queue, urgent]);
  const labels = [['w4', 'w6', 'w1', 'w3', 'w5'], ['w8', 'w10'], ['w0']];
  [TASK_LABEL, OTHER_LABEL, SHORT_LABEL].forEach((label, at) =>
    labels[at]?.forEach((id) => site.registerWorker(id, { labels: [label] })),
  );
  await site.run(1_000);
  const step = (requiredLabel: string) => makeJob(makeStep({ size: SHORT_SIZE, requiredLabel }));
  const runs = (taskId = MOVING_TASK_ID) => site.record.runsOf(taskId).length;
  put(site, urgent, [MOVING_JOB_ID], step(TASK_LABEL), 'dc0');
  await runUntil(site, () => runs() === 2);
  await startShortJobs(site, { home: 'dc0', requiredLabel: SHORT_LABEL });
  put(site, urgent, [OTHER_ID], step(OTHER_LABEL), 'dc0');
  slowStoreDown(home);
  const watched = () => site.data.items.get(keysOfShare('dc0').watchedRuns)?.value ?? '';
  await runUntil(site, () => runs(OTHER_TASK) === 2 && watched().includes(OTHER_TASK));
  home.kill();
  await site.run(60_000);
  t.is(site.data.items.get(ENDED_PREFIX + MOVING_JOB_ID)?.value, 'failed');
  t.is(runs(), 3);
  t.deepEqual(site.record.violations, []);
});
