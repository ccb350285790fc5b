/**
 * What an owner logs of the runs of its tasks.
 */
import test from 'ava';
import { FillerRuns } from 'samphirenotch/jobs/placement/fillerRuns.js';
import { reportOf, type LogReport } from 'samphirenotch-cli/report/logReport.js';

import { put } from '../fixtures/bulkSite.js';
import { JobSite, makeJob, makeOwnedSite, makeStep, runUntil } from '../fixtures/jobSite.js';
import { historyOf } from '../fixtures/loggedJobs.js';
import type { TaskBehaviour } from '../fixtures/memoryTaskWorker.js';
import { makeOwnedStep } from '../fixtures/silentFleet.js';
import { gatherLines, type SiteLine } from '../fixtures/siteLines.js';

const FILLING = '00000000000000f1';
const OTHER = '00000000000000a1';
const MILLI_CORES = 1_000;
const SIZE = { milliCores: MILLI_CORES, memoryMb: 1_000, accelerators: 0 };

/** Tasks of each step of the filling job. */
const COUNT = 100;

const SHORTEST_RUN_MS = 300;

/** Least number of runs of fillers for each line about them, and most characters for each of these runs. */
const MIN_RUNS_OF_LINE = 5;
const MAX_LENGTH_OF_RUN = 150;

const indexOf = (taskId: string): number => Number(taskId.split('.').at(-1));

const behave = (taskId: string): TaskBehaviour => ({
  size: SIZE,
  durationMs: SHORTEST_RUN_MS + 10 * (indexOf(taskId) % 7),
});

const filler = makeStep({ count: COUNT, filler: true, size: SIZE });

const FILLING_JOB = makeJob(filler, { ...filler, after: [0] });

const reportOn = (lines: readonly SiteLine[]): LogReport =>
  reportOf(historyOf(lines.map(({ text }) => text)), 0);

const about = (lines: readonly SiteLine[], word: string): readonly string[] =>
  lines.filter(({ text }) => text.includes(word)).map(({ message }) => message);

const isDone = (site: JobSite, jobId: string): boolean =>
  site.record.runs.filter((run) => run.taskId.startsWith(jobId) && run.kind === 'done').length ===
  2 * COUNT;

/** Runs the filling job until it is complete, and for long enough to log it. */
const runFilling = async (site: JobSite): Promise<void> => {
  put(site, site.queue, [FILLING], FILLING_JOB);
  for (let at = 0; at < 600 && !isDone(site, FILLING); at += 1) await site.run(50);
  await site.run(2_000);
};

// Guards against a log that consists of lines about fillers, so that others are dropped.
test.serial('should log fillers in few lines', async (t) => {
  const { site } = await makeOwnedSite({ behave });
  const lines = gatherLines(site);
  await runFilling(site);
  t.true(isDone(site, FILLING));
  const aboutRuns = lines.filter(({ text }) => text.includes(`${FILLING}.`));
  const length = aboutRuns.reduce((sum, { text }) => sum + text.length, 0);
  t.true(aboutRuns.length <= (2 * COUNT) / MIN_RUNS_OF_LINE, `${aboutRuns.length} lines`);
  t.true(length <= MAX_LENGTH_OF_RUN * 2 * COUNT, `${length / (2 * COUNT)} characters a run`);
  t.true(aboutRuns.every(({ rank, text }) => rank === 'bulk' && text.length <= 4_096));
});

// Guards against lines that readers of standard output cut at 4 KiB.
test.serial('should log fillers in lines that are not cut', (t) => {
  const site = new JobSite();
  const lines = gatherLines(site);
  const fillers = new FillerRuns(site.clock);
  const step = makeOwnedStep(makeStep({ count: 500, filler: true }));
  const worker = '0c9f3b0e-5c1d-4a55-9a53-7f0f2f6f4a10';
  step.tasks.forEach(({ index }) => {
    const run = { index, run: 123_456_000, worker, isSaved: true, isKnown: true };
    const times = { orderMs: 1_234, workedMs: 123_456, afterMs: 123_456 };
    fillers.addEnd(step, { ...run, kind: 'done', ...times });
  });
  fillers.writeAll();
  const ends = lines.map(({ fields }) => Number(fields.ends));
  t.is(
    ends.reduce((sum, each) => sum + each, 0),
    step.tasks.length,
  );
  lines.forEach(({ text }) => t.true(text.length <= 4_096, `${text.length} characters`));
});

// Guards against figures of fillers that are lost or changed in gathered lines.
test.serial('should tell of fillers what a report needs', async (t) => {
  const { site, owner } = await makeOwnedSite({ behave });
  const lines = gatherLines(site);
  put(site, site.queue, [OTHER], makeJob(makeStep({ size: SIZE, count: 3 })));
  await runFilling(site);
  owner.stop();
  await site.run(1_000);
  const { runs } = site.record;
  const report = reportOn(lines);
  const [row] = report.runs;
  t.is(report.runs.length, 1);
  t.is(row?.kind, 'done');
  t.is(row?.runs, runs.length);
  const workedMs = runs.reduce((sum, { taskId }) => sum + behave(taskId).durationMs, 0);
  // What passes at the owner beyond that is up to the next answer of the worker.
  t.true(Number(row?.coreSeconds) >= Math.floor(workedMs / 1_000));
  t.true(Number(row?.coreSeconds) <= (workedMs + 1_000 * runs.length) / 1_000);
  t.true(Number(row?.medianWorkedMs) >= SHORTEST_RUN_MS);
  t.is(
    report.places.reduce((sum, { starts }) => sum + starts, 0),
    runs.length,
  );
  const startsIn = (dataCentre: number): number =>
    runs.filter(({ workerId }) => Number(workerId.slice(1)) % 2 === dataCentre).length;
  t.deepEqual(
    report.places.map(({ dataCentre, starts }) => [dataCentre, starts]),
    [
      ['dc0', startsIn(0)],
      ['dc1', startsIn(1)],
    ],
  );
  const history = historyOf(lines.map(({ text }) => text));
  history.jobs().forEach(({ tasks }) =>
    tasks.forEach((logged, taskId) => {
      const recorded = runs.filter((run) => run.taskId === taskId);
      t.deepEqual(
        logged.map(({ run, kind }) => [run, kind]),
        recorded.map(({ run, kind }) => [run, kind]),
      );
      logged.forEach(({ startedMs }, at) =>
        t.true(Math.abs(startedMs - Number(recorded[at]?.startedMs)) <= 50),
      );
    }),
  );
});

// Guards against a failed task that is not found in the log by its id.
test.serial('should log each run of a filler that fails', async (t) => {
  const failing = `${FILLING}.0.0.7`;
  const { site } = await makeOwnedSite({
    behave: (taskId) => ({ ...behave(taskId), fails: taskId === failing }),
  });
  const lines = gatherLines(site);
  put(site, site.queue, [FILLING], FILLING_JOB);
  await site.run(6_000);
  t.deepEqual(about(lines, failing), [
    'A run has ended',
    'Starting a task',
    'A run has ended',
    'Starting a task',
    'A run has ended',
    'A job has failed',
  ]);
  const failed = lines.filter(({ fields }) => fields.taskId === failing && fields.kind);
  const recorded = site.record.runs.filter(({ taskId }) => taskId === failing);
  t.deepEqual(
    failed.map(({ fields }) => [fields.worker, fields.run, fields.kind]),
    recorded.map(({ workerId, run }) => [workerId, run, 'failed']),
  );
  const row = reportOn(lines).runs.find(({ kind }) => kind === 'failed');
  t.is(row?.runs, recorded.length);
});

// Guards against a lost run of a filler whose worker is not named.
test.serial('should log each run of a filler that is lost', async (t) => {
  const { site } = await makeOwnedSite({
    behave: (taskId) => ({ ...behave(taskId), durationMs: 60_000 }),
  });
  const lines = gatherLines(site);
  put(site, site.queue, [FILLING], FILLING_JOB);
  await site.run(700);
  const lost = site.record.runs.filter(({ workerId }) => workerId === 'w0');
  site.workers.get('w0')?.crash();
  await site.run(5_000);
  const logged = lines.filter(({ message }) => message === 'A task goes back to waiting');
  t.true(lost.length > 0);
  t.deepEqual(
    logged.map(({ fields }) => [fields.taskId, fields.run, fields.worker]).sort(),
    lost.map(({ taskId, run, workerId }) => [taskId, run, workerId]).sort(),
  );
  t.is(reportOn(lines).runs.find(({ kind }) => kind === 'gone')?.runs, lost.length);
});

// Guards against thousands of lines within a moment as a share is taken over.
test.serial('should log the runs that an answer of a worker adds in one line', async (t) => {
  const { site, owner } = await makeOwnedSite({
    behave: (taskId) => ({ ...behave(taskId), durationMs: 60_000 }),
  });
  put(site, site.queue, [OTHER], makeJob(makeStep({ size: SIZE, count: 6, longRunning: true })));
  put(site, site.queue, [FILLING], FILLING_JOB);
  await site.run(2_000);
  const runsOn = (worker: string): readonly string[] =>
    site.record.runs
      .filter(({ workerId, endedMs }) => workerId === worker && endedMs === undefined)
      .map(({ taskId, run }) => `${taskId} ${run}`)
      .sort();
  const expected = new Map(['w0', 'w1'].map((worker) => [worker, runsOn(worker)]));
  const lines = gatherLines(site);
  owner.kill();
  site.start('b');
  await runUntil(site, () => about(lines, 'Adopted').length >= 2);
  const adopted = lines.filter(({ message }) => message.startsWith('Adopted'));
  t.is(adopted.length, 2);
  adopted.forEach(({ fields }) => {
    const runs = String(fields.runs).split(' ');
    const found = String(fields.taskIds)
      .split(' ')
      .map((taskId, at) => `${taskId} ${runs[at]}`);
    t.true(found.length > 1);
    t.is(fields.adopted, found.length);
    t.deepEqual([...found].sort(), expected.get(String(fields.worker)));
  });
});

// Guards against tasks other than fillers that lose their lines.
test.serial('should log each start and end of a task that is not a filler', async (t) => {
  const { site } = await makeOwnedSite({ behave });
  const lines = gatherLines(site);
  put(site, site.queue, [OTHER], makeJob(makeStep({ size: SIZE, count: 2 })));
  await site.run(2_000);
  [0, 1].forEach((index) =>
    t.deepEqual(about(lines, `${OTHER}.0.0.${index}`), ['Starting a task', 'A run has ended']),
  );
});
