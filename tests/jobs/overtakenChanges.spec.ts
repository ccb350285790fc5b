/**
 * Owners that are lost while changes that overtake others are stored and those others are not.
 */
import test, { type ExecutionContext } from 'ava';
import { ENDED_PREFIX, keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';

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
  makeOwnedSite,
  makeStep,
  runUntil,
  type JobSite,
  type JobSiteOptions,
  type SiteEntry,
} from '../fixtures/jobSite.js';

const JOB_ID = '00000000000000a1';

const TASK_ID = `${JOB_ID}.0.0.0`;

/** A label of workers that short jobs may use, and one of those for the task. */
const SHORT_LABEL = 'short';
const TASK_LABEL = 'task';

const ROSTER_KEY = keysOfShare(WHOLE_SITE_SHARE_ID).roster;

const isInRoster = (site: JobSite, id: string): boolean =>
  site.data.items.get(ROSTER_KEY)?.value.includes(`"${id}"`) ?? false;

/** Starts many short jobs, and slows the store down for the owner, so that their changes have to wait. */
const makeBacklog = async (
  site: JobSite,
  owner: SiteEntry,
  options?: Parameters<typeof startShortJobs>[1],
): Promise<void> => {
  await startShortJobs(site, options);
  slowStoreDown(owner);
};

const makeSite = async (options: JobSiteOptions) => {
  const made = await makeOwnedSite(options);
  made.site.start('b');
  made.site.configure([made.site.queue, urgent]);
  await made.site.run(500);
  return made;
};

/** Loses an owner as soon as a worker that is not listed any more has left the roster; its task was done there. */
const loseOwner = async (t: ExecutionContext, onBacklog: (site: JobSite) => void) => {
  const { site, owner } = await makeSite({
    workers: 3,
    behave: (taskId) => ({
      size: SHORT_SIZE,
      durationMs: taskId === TASK_ID ? 6 * SHORT_RUN_MS : SHORT_RUN_MS,
    }),
  });
  site.registerWorker('w2', { labels: [TASK_LABEL] });
  await site.run(500);
  put(site, urgent, [JOB_ID], makeJob(makeStep({ size: SHORT_SIZE, requiredLabel: TASK_LABEL })));
  await runUntil(site, () => site.record.runsOf(TASK_ID).length > 0);
  site.data.remove('workers/w2');
  await site.run(4 * SHORT_RUN_MS);
  await makeBacklog(site, owner);
  await site.run(SHORT_RUN_MS);
  onBacklog(site);
  await runUntil(site, () => site.record.runsOf(TASK_ID).some(({ kind }) => kind === 'done'));
  while (isInRoster(site, 'w2')) await site.run(50);
  t.true(site.data.items.has(ENDED_PREFIX + JOB_ID));
  owner.stop();
  // Another worker has what the task needs.
  site.registerWorker('w1', { labels: [TASK_LABEL] });
  await site.run(20_000);
  t.is(site.record.runsOf(TASK_ID).length, 1);
  t.deepEqual(site.record.violations, []);
};

// Guards against a roster without a worker that is stored before what the worker has reported (TWICE).
test('should not start a task again that was done on a worker that is no longer listed', (t) =>
  loseOwner(t, () => undefined));

// Guards against the same if an older roster waits to be stored.
test('should not start it again if the roster had changed before it was done', (t) =>
  loseOwner(t, (site) => site.addWorker('w3')));

// Guards against a roster without a worker that is stored before the crash of the trial on it (BUDGET).
test('should count the crash of a trial whose worker is replaced while many changes wait', async (t) => {
  const { site, owner } = await makeSite({
    workers: 8,
    replacesCrashed: true,
    behave: (taskId) => ({
      size: SHORT_SIZE,
      durationMs: SHORT_RUN_MS,
      crashes: taskId === TASK_ID,
    }),
  });
  [...site.workers.keys()].forEach((id, at) =>
    site.registerWorker(id, { labels: [at < 2 ? SHORT_LABEL : TASK_LABEL] }),
  );
  await site.run(1_000);
  put(site, urgent, [JOB_ID], makeJob(makeStep({ size: SHORT_SIZE, requiredLabel: TASK_LABEL })));
  const runs = () => site.record.runsOf(TASK_ID);
  while (runs().length < 3) await site.run(50);
  await site.run(1_200);
  await makeBacklog(site, owner, { requiredLabel: SHORT_LABEL });
  const third = runs().at(-1)?.workerId ?? '';
  while (isInRoster(site, third)) await site.run(50);
  owner.kill();
  await site.run(60_000);
  t.is(site.data.items.get(ENDED_PREFIX + JOB_ID)?.value, 'failed');
  t.is(runs().length, 3);
  t.deepEqual(site.record.violations, []);
});

// Guards against a task that is back from another share and is stopped by the successor of its home, which still
// finds its delegation.
for (const way of ['stop', 'kill'] as const) {
  test(`should go on with a task that was back once, if its home is lost by a ${way}`, async (t) => {
    const { site, owners } = await makeDividedSite({
      workers: 4,
      behave: (taskId) => ({
        size: SHORT_SIZE,
        durationMs: taskId === TASK_ID ? Infinity : SHORT_RUN_MS,
      }),
    });
    const [home] = owners;
    const last = () => site.record.runsOf(TASK_ID).at(-1);
    const isIn = (dataCentre: number): boolean =>
      Number(last()?.workerId.slice(1)) % 2 === dataCentre;
    const endRun = (): void => site.workers.forEach((worker) => worker.endRuns(TASK_ID, 'failed'));
    site.start('c', false, 1, 'dc0');
    site.configure([site.queue, urgent]);
    site.putJobs([JOB_ID], makeJob(makeStep({ longRunning: true })), 'dc0');
    await runUntil(site, () => isIn(0));
    site.data.put('operator/evacuate/dc0', '');
    await site.run(1_000);
    endRun();
    await runUntil(site, () => isIn(1));
    site.data.remove('operator/evacuate/dc0');
    await site.run(1_500);
    await makeBacklog(site, home, { home: 'dc0' });
    site.data.put('operator/evacuate/dc1', '');
    await site.run(900);
    endRun();
    await runUntil(site, () => isIn(0));
    home[way]();
    await site.run(25_000);
    t.is(last()?.endedMs, undefined);
    t.deepEqual(site.record.violations, []);
  });
}
