/**
 * A task that crashes workers of its home after another share has returned it.
 */
import test from 'ava';
import { ENDED_PREFIX, keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { makeDividedSite, makeJob, makeStep, ownerOf, runUntil } from '../fixtures/jobSite.js';
import { sizeOf } from '../fixtures/overload.js';

const JOB_ID = '00000000000000a1';
const TASK_ID = `${JOB_ID}.0.0.1`;
const LABEL = 'large-memory';
const MILLI_CORES = 1_000;
const WORKERS = 16;

/** Workers that may run the task: two of the second share, and all of the home. */
const LABELLED = ['w1', 'w3', ...Array.from({ length: WORKERS / 2 }, (_, at) => `w${2 * at}`)];

/** Starts after which a task is given up that crashes its worker each time: three crashes, and two not known of. */
const MAX_STARTS = 5;

/** Owners of the home that are killed, one after the other. */
const KILLS = 3;

// Guards against crashes that each new owner of the home forgets as it applies an old report again, while another task of
// the delegation is still away (BUDGET).
test('should count the crashes at home of a task whose delegation is still open', async (t) => {
  let isDeadly = false;
  const { site } = await makeDividedSite({
    workers: WORKERS,
    milliCores: MILLI_CORES,
    replacesCrashed: true,
    behave: (taskId) => ({
      size: sizeOf(MILLI_CORES),
      durationMs: taskId === TASK_ID ? 3_000 : 300_000,
      crashes: isDeadly && taskId === TASK_ID,
    }),
  });
  ['c', 'd', 'e', 'f'].forEach((name) => site.start(name, false, 1, 'dc0'));
  LABELLED.forEach((id) => site.registerWorker(id, { labels: [LABEL] }));
  await site.run(500);
  site.data.put('operator/evacuate/dc0', '');
  await site.run(1_000);
  const step = makeStep({ count: 2, requiredLabel: LABEL, longRunning: true });
  site.putJobs([JOB_ID], makeJob(step), 'dc0');
  await runUntil(site, () => site.record.runsOf(TASK_ID).length === 1);
  await site.run(500);
  isDeadly = true;
  const workerId = site.record.runsOf(TASK_ID)[0]?.workerId ?? '';
  site.registerWorker(workerId, { phase: 'draining', remainingMs: 60_000, labels: [LABEL] });
  await site.run(200);
  site.workers.get(workerId)?.endRuns(TASK_ID, 'failed');
  site.data.remove('operator/evacuate/dc0');
  const countStarts = (): number => site.record.runsOf(TASK_ID).length - 1;
  const hasCrashStored = (): boolean =>
    site.data.items.get(keysOfShare('dc0').progressPrefix + JOB_ID)?.value.includes('"c"') ?? false;
  const isEnded = (): boolean => site.data.items.has(ENDED_PREFIX + JOB_ID);
  for (let kills = 0; kills < KILLS && !isEnded(); kills += 1) {
    const before = countStarts();
    const isCounted = (): boolean => countStarts() > before && hasCrashStored();
    for (let at = 0; at < 3_000 && !isCounted() && !isEnded(); at += 50) await site.run(50);
    await site.run(300);
    site.entries.find(({ name }) => name === ownerOf(site, 'dc0'))?.kill();
    await site.run(5_100);
  }
  await site.run(60_000);
  t.true(countStarts() <= MAX_STARTS, `${countStarts()} starts at home`);
  t.deepEqual(site.record.violations, []);
});
