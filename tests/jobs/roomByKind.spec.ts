/**
 * Tests the logged summaries of jobs and of room, which explain waiting times afterwards.
 */
import test from 'ava';
import { describeJob } from 'samphirenotch/jobs/model/jobDescription.js';
import type { StepSpec } from 'samphirenotch/jobs/model/jobSpec.js';
import {
  reservedSizeOf,
  type OwnedRun,
  type OwnedStep,
} from 'samphirenotch/jobs/model/ownedJob.js';
import { takenRoom, awaitedRoom } from 'samphirenotch/jobs/placement/roomByKind.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeJob, makeQueue, makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep, makeSilentAgent } from '../fixtures/silentFleet.js';

/** Steps of the fixtures are accepted at 0 ms, take 1 s, and should be complete after 3 s. */
const IN_TIME_MS = 1_000;
const LATE_MS = 2_500;

const stepOf = (changes: Partial<StepSpec> = {}): OwnedStep =>
  makeOwnedStep(makeStep({ count: 2, ...changes }));

const runAll = (step: OwnedStep): readonly OwnedRun[] => {
  const agent = makeSilentAgent(new ManualClock());
  step.tasks.forEach((task) => agent.trackRun(task, 1, reservedSizeOf(task), 'running'));
  return agent.activeRuns();
};

// Guards against capacity that is reported under the wrong kind of task.
test('should sum the processors that runs take by kind of task', (t) => {
  const inTime = takenRoom(runAll(stepOf()), IN_TIME_MS);
  t.deepEqual(inTime, { inTime: 2_000, late: 0, lasting: 0, fillers: 0 });
  t.is(takenRoom(runAll(stepOf()), LATE_MS).late, 2_000);
  t.is(takenRoom(runAll(stepOf({ longRunning: true })), LATE_MS).lasting, 2_000);
  t.is(takenRoom(runAll(stepOf({ filler: true })), LATE_MS).fillers, 2_000);
});

// Guards against running or not yet startable tasks that are reported as waiting.
test('should sum the processors of waiting tasks, without those that run or cannot start yet', (t) => {
  const step = stepOf({ count: 3 });
  const { job } = step.occurrence;
  t.is(awaitedRoom([job], IN_TIME_MS, 0).inTime, 3_000);
  t.is(awaitedRoom([job], LATE_MS, 0).late, 3_000);
  const agent = makeSilentAgent(new ManualClock());
  const [task] = step.tasks;
  if (task) agent.trackRun(task, 1, reservedSizeOf(task), 'running');
  t.is(awaitedRoom([job], IN_TIME_MS, 0).inTime, 2_000);
  job.isFullyStarted = true;
  t.is(awaitedRoom([job], IN_TIME_MS, 0).inTime, 0);
});

// Guards against log lines that grow with the number of steps of a job.
test('should describe a job in a log line of limited length', (t) => {
  const steps = [makeStep({ count: 3, estimateMs: 540.4 }), makeStep({ longRunning: true })];
  const queue = makeQueue({ priority: 2, stretch: 1.5, targetLatencyMs: 250 });
  const accepted = { id: 'a', home: 'site', queue, acceptedAtMs: 0, job: makeJob(...steps) };
  t.deepEqual(describeJob(accepted), {
    priority: 2,
    stretch: 1.5,
    targetLatencyMs: 250,
    steps: 2,
    tasks: 4,
    occurrences: undefined,
    isLasting: true,
    hasFillers: false,
    estimatesMs: '540 1000',
  });
  const wide = makeJob(...Array.from({ length: 200 }, () => makeStep()));
  t.is(describeJob({ ...accepted, job: wide }).estimatesMs.split(' ').length, 16);
});
