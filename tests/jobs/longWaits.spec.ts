/**
 * Checks which long waits of long-running tasks are reported.
 */
import test from 'ava';
import type { OwnedJob } from 'samphirenotch/jobs/model/ownedJob.js';
import type { StepSpec } from 'samphirenotch/jobs/model/jobSpec.js';
import { LongWaits } from 'samphirenotch/jobs/placement/longWaits.js';

import { makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep } from '../fixtures/silentFleet.js';

const makeWaitingJob = (changes: Partial<StepSpec>): OwnedJob =>
  makeOwnedStep(makeStep(changes)).occurrence.job;

const reportedAt = (waits: LongWaits, job: OwnedJob, untilMs: number): readonly number[] =>
  Array.from({ length: untilMs / 1_000 + 1 }, (_, second) => second * 1_000).filter(
    (nowMs) => waits.due([job], nowMs).length > 0,
  );

// Guards against a long-running task that doesn't run for long while the log says nothing of it.
test('should report a long-running task once it has waited for 3 s, and every 10 s after that', (t) => {
  const job = makeWaitingJob({ longRunning: true });
  t.deepEqual(reportedAt(new LongWaits(), job, 25_000), [3_000, 13_000, 23_000]);
});

// Guards against reports of tasks that are expected to wait, or that run.
test('should not report tasks that end by themselves, nor those that run', (t) => {
  t.deepEqual(reportedAt(new LongWaits(), makeWaitingJob({}), 10_000), []);
  const fullyStarted = makeWaitingJob({ longRunning: true });
  fullyStarted.isFullyStarted = true;
  t.deepEqual(reportedAt(new LongWaits(), fullyStarted, 10_000), []);
});

// Guards against a log that grows with the number of tasks that wait.
test('should report a bounded number of tasks at a time', (t) => {
  const waits = new LongWaits();
  const job = makeWaitingJob({ longRunning: true, count: 100 });
  waits.due([job], 0);
  t.true(waits.due([job], 3_000).length <= 5);
});
