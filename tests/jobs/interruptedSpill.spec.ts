/**
 * Tests which interrupted tasks are handed to another share, and how much room a share tells of.
 */
import test from 'ava';
import type { OwnedTask } from 'samphirenotch/jobs/model/ownedJob.js';
import { NO_CAPACITY } from 'samphirenotch/jobs/model/shareCapacity.js';
import type { StepSpec } from 'samphirenotch/jobs/model/jobSpec.js';
import { InterruptedSpill } from 'samphirenotch/jobs/placement/interruptedSpill.js';
import { roomForInterrupted } from 'samphirenotch/jobs/placement/interruptedRoom.js';
import { byInterruption } from 'samphirenotch/jobs/placement/interruptedTasks.js';
import { Refusals } from 'samphirenotch/jobs/placement/refusals.js';
import type { SpillTarget } from 'samphirenotch/jobs/placement/spillOver.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeQueue, makeStep } from '../fixtures/jobSite.js';
import { sizeOf } from '../fixtures/overload.js';
import { addRunningRun, makeOwnedStep, makeSilentAgent } from '../fixtures/silentFleet.js';

const SERVICE = makeQueue().service;

/** Makes a share that is full of short tasks, some of whose room interrupted tasks could get. */
const makeTarget = (
  share: string,
  milliCores: number,
  { service = SERVICE, labels = [] as readonly string[] } = {},
): SpillTarget => ({
  share,
  room: {
    ...NO_CAPACITY,
    capacity: 100_000,
    waiting: 50_000,
    forInterrupted: new Map([[service, { capacity: 100_000, free: milliCores }]]),
    labels: new Set(labels),
  },
});

/** Makes interrupted tasks, the last of which was interrupted first. */
const makeInterrupted = (changes: Partial<StepSpec> = {}): readonly OwnedTask[] => {
  const step = makeOwnedStep(makeStep({ count: 10, longRunning: true, ...changes }));
  return step.tasks.map((task, index) =>
    Object.assign(task, { hasRun: true, interruptedMs: 1_000 - index }),
  );
};

/** Makes the home, with the given room. */
const makeHome = (milliCores: number) =>
  new Map([[SERVICE, { capacity: 100_000, free: milliCores }]]);

const indexesOf = (tasks: readonly OwnedTask[] = []) => tasks.map(({ index }) => index);

// Guards against interrupted tasks that wait at home while others have room for them, but none that is free (LOST).
test('should hand what a share has no room for to the one with most, the task that was interrupted first before the others', (t) => {
  const tasks = byInterruption(makeInterrupted());
  const targets = [makeTarget('a', 10_000), makeTarget('b', 20_000), makeTarget('c', 5_000)];
  const spills = new InterruptedSpill(new Refusals()).choose(tasks, makeHome(-3_000), targets, 0);
  t.deepEqual(
    spills.map(({ to }) => to),
    ['b'],
  );
  t.deepEqual(indexesOf(spills[0]?.tasks), [9, 8, 7]);
});

// Guards against delegations of tasks that run again sooner at home.
test('should keep tasks for which their share has room once its short tasks have ended', (t) => {
  const tasks = makeInterrupted();
  const targets = [makeTarget('a', 20_000)];
  t.deepEqual(new InterruptedSpill(new Refusals()).choose(tasks, makeHome(0), targets, 0), []);
  t.deepEqual(new InterruptedSpill(new Refusals()).choose(tasks, makeHome(4_000), targets, 0), []);
});

// Guards against tasks that move between shares none of which has room.
test('should use a fraction of the reported room once until the next report counts the tasks', (t) => {
  const tasks = makeInterrupted();
  const policy = new InterruptedSpill(new Refusals());
  const others = [makeTarget('b', -8_000), makeTarget('c', -10_000)];
  const choose = (nowMs: number) =>
    policy
      .choose(tasks, makeHome(-10_000), [makeTarget('a', 10_000), ...others], nowMs)
      .flatMap((spill) => spill.tasks).length;
  t.is(choose(0), 4);
  t.is(choose(300), 0);
  t.is(choose(1_000), 4);
});

// Guards against interrupted tasks that wait in one share while another gives its new room to others (LOST), and
// against delegations for a difference that is no larger than the error of reports.
test('should balance what shares lack, by their capacity', (t) => {
  const tasks = makeInterrupted();
  const countFor = (...milliCores: readonly number[]) =>
    new InterruptedSpill(new Refusals())
      .choose(
        tasks,
        makeHome(-10_000),
        milliCores.map((each) => makeTarget('a', each)),
        0,
      )
      .flatMap((spill) => spill.tasks).length;
  t.is(countFor(0), 5);
  t.is(countFor(-4_000), 3);
  t.is(countFor(-9_000), 0);
});

// Guards against tasks in shares that cannot run them.
test('should skip shares without room for the service or the label, and those that returned tasks', (t) => {
  const tasks = makeInterrupted({ requiredLabel: 'fast' });
  const [task] = tasks;
  const refusals = new Refusals();
  const policy = new InterruptedSpill(refusals);
  const labels = ['fast'];
  const shareAt = (nowMs: number, target: SpillTarget) =>
    policy.choose(tasks, makeHome(-1_000), [target], nowMs)[0]?.to;
  t.is(shareAt(0, makeTarget('a', 20_000)), undefined);
  t.is(shareAt(0, makeTarget('b', 20_000, { labels, service: 'other' })), undefined);
  t.is(shareAt(0, makeTarget('c', 20_000, { labels })), 'c');
  if (task) refusals.note(task.step, 'c', 100);
  t.is(shareAt(3_000, makeTarget('c', 20_000, { labels })), undefined);
  t.is(shareAt(3_200, makeTarget('c', 20_000, { labels })), 'c');
});

/** Makes a worker of 8 cores with runs of the given sizes that last. */
const makeFullAgent = (...milliCores: readonly number[]) => {
  const agent = makeSilentAgent(new ManualClock());
  milliCores.forEach((each) =>
    addRunningRun(agent, makeOwnedStep(makeStep({ longRunning: true, size: sizeOf(each) }))),
  );
  return agent;
};

const roomOf = (...[all, usable, jobs]: Parameters<typeof roomForInterrupted>) =>
  roomForInterrupted(all, usable, jobs).get(SERVICE)?.free;

// Guards against a share that takes in more interrupted tasks than it can run.
test('should tell of room that short runs hold, less what own interrupted tasks need', (t) => {
  const agent = makeFullAgent(2_000);
  addRunningRun(agent, makeOwnedStep(makeStep({ size: sizeOf(4_000) })));
  t.is(roomOf([agent], [agent], []), 6_000);
  const [task] = makeInterrupted({ count: 4, size: sizeOf(2_000) });
  const job = task?.step.occurrence.job;
  t.is(roomOf([agent], [agent], job ? [job] : []), -2_000);
});

// Guards against tasks that go to a share whose workers are about to leave, or have no room for a whole task.
test('should not tell of room that tasks on leaving workers need, or that is too small for a task', (t) => {
  const [kept, leaving] = [makeFullAgent(2_000, 2_000), makeFullAgent(2_000)];
  t.is(roomOf([kept, leaving], [kept], []), 2_000);
  const parted = makeFullAgent(3_000, 3_000);
  t.is(roomOf([parted, parted], [parted, parted], []), 0);
});
