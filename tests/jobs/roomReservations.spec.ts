/**
 * Tests the choice, number and end of reservations of workers.
 */
import test from 'ava';
import { reservedSizeOf, type OwnedTask } from 'samphirenotch/jobs/model/ownedJob.js';
import { RoomReservations } from 'samphirenotch/jobs/placement/roomReservations.js';
import type { WorkerAgent } from 'samphirenotch/jobs/workers/workerAgent.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeStep } from '../fixtures/jobSite.js';
import { addRunningRun, makeOwnedStep, makeSilentAgent } from '../fixtures/silentFleet.js';

/** Longest time for which a task may keep others off a worker, in milliseconds. */
const MAX_RESERVATION_MS = 3_000;

const SIZE = { milliCores: 6_000, memoryMb: 1_000, accelerators: 0 };

const makeTask = (): OwnedTask => {
  const [task] = makeOwnedStep(makeStep({ longRunning: true, size: SIZE })).tasks;
  if (!task) throw new Error('the step has no task');
  return task;
};

/** Makes a worker with a run that leaves too little room. */
const makeBusyWorker = (clock: ManualClock, id: string, estimateMs: number): WorkerAgent => {
  const agent = makeSilentAgent(clock, { id });
  addRunningRun(agent, makeOwnedStep(makeStep({ size: SIZE, estimateMs })));
  return agent;
};

const makeFleet = (count: number) => {
  const clock = new ManualClock();
  const workers = Array.from({ length: count }, (_, index) =>
    makeBusyWorker(clock, `w${index}`, 1_000),
  );
  const reservations = new RoomReservations(clock);
  const reserve = (
    task: OwnedTask,
    permits: (agent: WorkerAgent) => boolean = () => true,
    isOwed = false,
  ): boolean =>
    reservations.reserve({ task, size: reservedSizeOf(task), workers, isOwed }, permits);
  return { clock, workers, reservations, reserve };
};

// Guards against a reservation of a worker that has no room for long while another one is about to.
test('should reserve the worker on which the runs in the way end first', (t) => {
  const { clock, workers, reservations, reserve } = makeFleet(2);
  const soon = makeBusyWorker(clock, 'soon', 300);
  workers.push(soon);
  reserve(makeTask());
  t.deepEqual(
    reservations.current().map(({ agent }) => agent),
    [soon],
  );
});

// Guards against workers that stand idle until a long run ends.
test('should reserve no worker whose runs do not end soon, and none that must not run the task', (t) => {
  const { clock, workers, reservations, reserve } = makeFleet(1);
  const [busy] = workers;
  workers.push(makeBusyWorker(clock, 'long', 60_000));
  reserve(makeTask(), (agent) => agent !== busy);
  t.deepEqual(reservations.current(), []);
});

// Guards against urgent tasks that find most workers reserved.
test('should keep few workers at a time', (t) => {
  const { reservations, reserve } = makeFleet(40);
  for (let count = 0; count < 10; count += 1) reserve(makeTask());
  t.is(reservations.current().length, 2);
});

// Guards against urgent tasks that find most workers reserved when many tasks go before them.
test('should keep more workers for tasks that go before all others, but not most', (t) => {
  const { reservations, reserve } = makeFleet(40);
  for (let count = 0; count < 20; count += 1) reserve(makeTask());
  for (let count = 0; count < 20; count += 1) reserve(makeTask(), () => true, true);
  t.is(reservations.current().length, 10);
  t.false(reserve(makeTask()));
});

// Guards against tasks on draining workers that cannot move while many tasks go before all others (LOST).
test('should keep workers for tasks that move beside those that go before all others', (t) => {
  const { reservations, reserve } = makeFleet(40);
  for (let count = 0; count < 20; count += 1) reserve(makeTask(), () => true, true);
  t.is(reservations.current().length, 10);
  t.true(reserve(makeTask()));
  t.true(reserve(makeTask()));
  t.false(reserve(makeTask()));
});

// Guards against a worker that stays reserved although its runs do not end, or that is reserved again at once.
test('should give a reservation up after a while, and not repeat it at once', (t) => {
  const { clock, reservations, reserve } = makeFleet(1);
  const task = makeTask();
  reserve(task);
  t.true(reservations.hasReservation(task));
  clock.jump(MAX_RESERVATION_MS);
  t.deepEqual(reservations.current(), []);
  reserve(task);
  t.false(reservations.hasReservation(task));
});

// Guards against moves that end at the rate at which runs stop: the worker of each stays reserved meanwhile.
test('should let another task reserve a worker once the room of the first is held', (t) => {
  const { clock, workers, reservations, reserve } = makeFleet(20);
  const from = makeSilentAgent(clock, { id: 'from' });
  const first = makeTask();
  const second = makeTask();
  t.true(reserve(first));
  t.false(reserve(second));
  const to = reservations.reservedFor(first);
  if (to) reservations.hold(to, first, from);
  t.is(reservations.reservedFor(first), to);
  t.true(reserve(second));
  t.is(workers.filter((agent) => reservations.isReserved(agent)).length, 1);
});

// Guards against a worker that gets more tasks than it has room for.
test('should take held room off the free resources until it is released', (t) => {
  const { clock, reservations } = makeFleet(0);
  const to = makeSilentAgent(clock, { id: 'to' });
  const task = makeTask();
  reservations.hold(to, task, makeSilentAgent(clock, { id: 'from' }));
  t.is(to.free().milliCores, 2_000);
  clock.jump(MAX_RESERVATION_MS);
  t.deepEqual(reservations.current(), []);
  t.is(to.free().milliCores, 8_000);
});

// Guards against a worker that is kept for a task that has started elsewhere.
test('should drop the reservation of a task that no longer waits', (t) => {
  const { clock, reservations, reserve } = makeFleet(1);
  const task = makeTask();
  reserve(task);
  makeSilentAgent(clock, { id: 'other' }).trackRun(task, 1, reservedSizeOf(task), 'running');
  t.deepEqual(reservations.current(), []);
});
