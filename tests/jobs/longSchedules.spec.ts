/**
 * Jobs whose steps run thousands of times.
 */
import test from 'ava';
import { decodeProgress, encodeProgress } from 'samphirenotch/jobs/model/jobProgress.js';
import type { JobSpec } from 'samphirenotch/jobs/model/jobSpec.js';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';
import { MAXIMUM_OPEN_TASKS } from 'samphirenotch/jobs/store/jobRegistry.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import {
  makeJob,
  makeOwnedSite,
  makeStep,
  runUntil,
  type JobSite,
  type SiteEntry,
} from '../fixtures/jobSite.js';
import { makeOwnedJob } from '../fixtures/ownedJobs.js';

const ID = '00000000000000a1';

const TIMES_A_DAY = 8_640;

const INTERVAL_MS = 10_000;

/** Processors of workers on which no task of these jobs fits, in thousandths of a core. */
const TOO_SMALL_MILLI_CORES = 500;

const { progressPrefix: PROGRESS_PREFIX } = keysOfShare(WHOLE_SITE_SHARE_ID);

/** Makes a schedule for a day. */
const makeSchedule = (changes: Partial<JobSpec> = {}): JobSpec => ({
  ...makeJob(makeStep({ count: 2 })),
  repeatCount: TIMES_A_DAY,
  startAtMs: 0,
  intervalMs: INTERVAL_MS,
  ...changes,
});

/** Returns the indexes of the occurrences that the owner holds. */
const openOccurrences = ({ entry }: SiteEntry, id = ID): readonly number[] => [
  ...new Set(entry.explain(id)?.steps.map(({ occurrence }) => occurrence)),
];

const storedProgress = (site: JobSite): string =>
  site.data.items.get(PROGRESS_PREFIX + ID)?.value ?? '';

const doneRuns = ({ record }: JobSite): readonly string[] =>
  record.runs.filter(({ kind }) => kind === 'done').map(({ taskId }) => taskId);

// Guards against an owner that is ended at its heap limit by accepted schedules (review/6).
test('should hold no tasks of occurrences that are not due', (t) => {
  const job = makeOwnedJob(makeSchedule());
  t.is(job.openTaskCount, 0);
  t.is(job.occurrences.size, 0);
  t.is(job.nextDueAtMs, 0);
  t.false(job.isDone);
});

// Guards against an owner whose work and stored progress grow with each occurrence that is done.
test('should hold only open occurrences of a schedule', async (t) => {
  const { site, owner } = await makeOwnedSite();
  const startAtMs = site.clock.wallMs() + 60_000;
  await site.submit(owner, ID, makeSchedule({ startAtMs }));
  await site.run(1_000);
  t.deepEqual(openOccurrences(owner), []);
  await site.run(59_000 - 1_000);
  await runUntil(site, () => openOccurrences(owner).length > 0);
  t.deepEqual(openOccurrences(owner), [0]);
  await site.run(2 * INTERVAL_MS + 5_000);
  t.deepEqual(openOccurrences(owner), []);
  t.deepEqual(doneRuns(site).length, 6);
  t.deepEqual(JSON.parse(storedProgress(site)), { o: [], e: [0, 3] });
  t.is(await site.state(owner, ID), 'running');
});

// Guards against occurrences that run again, or are left out, under the next owner.
test('should go on with a schedule where the former owner was', async (t) => {
  const { site, owner } = await makeOwnedSite();
  const startAtMs = site.clock.wallMs() + 500;
  await site.submit(owner, ID, makeSchedule({ startAtMs, repeatCount: 12, intervalMs: 1_000 }));
  await site.run(4_200);
  owner.kill();
  const successor = site.start('b');
  await site.run(20_000);
  t.is(await site.state(successor, ID), 'completed');
  t.deepEqual(doneRuns(site).length, 24);
  t.is(new Set(doneRuns(site)).size, 24);
  t.deepEqual(site.record.violations, []);
});

// Guards against a site that does not come up with the schedules that a former version has accepted.
test('should take over a schedule that a former version has begun', async (t) => {
  const { site, owner } = await makeOwnedSite({ milliCores: TOO_SMALL_MILLI_CORES });
  owner.kill();
  const steps = (done: boolean) => [{ d: done ? [0, 2] : [] }];
  const occurrences = Array.from({ length: TIMES_A_DAY }, (_each, index) => ({
    k: index,
    s: steps(index < 5 || index === 7),
  }));
  site.data.put(PROGRESS_PREFIX + ID, JSON.stringify({ o: occurrences }));
  const startAtMs = site.clock.wallMs() - 8 * INTERVAL_MS;
  site.putJobs([ID], makeSchedule({ startAtMs }));
  const successor = site.start('b');
  await site.run(10_500);
  t.deepEqual(openOccurrences(successor), [5, 6, 8, 9]);
});

// Guards against tasks and occurrences that run again since a successor does not read that they are done.
test('should keep what is done when progress is encoded and decoded', (t) => {
  const job = makeOwnedJob(makeSchedule());
  [0, 1, 2].forEach((index) => {
    const occurrence = job.open(index);
    if (!occurrence) throw new Error('the job has no such occurrence');
    const [step] = occurrence.steps;
    if (index === 1 || !step) return;
    step.doneCount = 2;
    job.closeIfDone(occurrence);
  });
  const [task] = job.open(1)?.steps[0]?.tasks ?? [];
  if (!task) throw new Error('the step has no task');
  task.done = true;
  const clock = new ManualClock();
  const progress = decodeProgress(encodeProgress(job, 1, clock), 1, clock);
  const restored = makeOwnedJob(makeSchedule(), { progress });
  t.deepEqual([...restored.doneOccurrences], [0, 2]);
  t.deepEqual([...restored.occurrences.keys()], [1]);
  t.is(restored.open(1)?.steps[0]?.doneCount, 1);
  t.is(restored.open(0), undefined);
  t.is(restored.nextDueAtMs, 3 * INTERVAL_MS);
});

// Guards against a run that is stopped since the clock of a new owner is behind that of the former one.
test('should find the task of a run whose occurrence is not due by the clock of this owner', (t) => {
  const job = makeOwnedJob(makeSchedule());
  t.is(job.findTask(`${ID}.7.0.1`)?.id, `${ID}.7.0.1`);
  t.deepEqual([...job.occurrences.keys()], [7]);
  t.is(job.findTask(`${ID}.${TIMES_A_DAY}.0.1`), undefined);
  t.is(job.findTask(`${ID}.x.0.1`), undefined);
});

// Guards against a backlog of occurrences that fills the memory of the owner.
test('should hold occurrences that are due only as far as its bound of open tasks goes', async (t) => {
  const { site, owner } = await makeOwnedSite({ milliCores: TOO_SMALL_MILLI_CORES });
  const startAtMs = site.clock.wallMs();
  const count = MAXIMUM_OPEN_TASKS / 4;
  const steps = [makeStep({ count })];
  const backlog = makeSchedule({ steps, startAtMs, repeatCount: 100, intervalMs: 0 });
  site.putJobs([ID], backlog);
  site.putJobs(['00000000000000a2'], makeSchedule({ startAtMs: startAtMs + 1_000 }));
  await site.run(1_500);
  t.deepEqual(openOccurrences(owner), [0, 1, 2, 3]);
  t.deepEqual(openOccurrences(owner, '00000000000000a2'), [0]);
});
