/**
 * Tests in which order overdue tasks get a reservation.
 */
import test from 'ava';
import { type OwnedTask } from 'samphirenotch/jobs/model/ownedJob.js';
import { OverdueReservations } from 'samphirenotch/jobs/placement/overdueReservations.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeQueue, makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep } from '../fixtures/silentFleet.js';

/** Time that a try takes, in milliseconds, and passes after which each task must have been tried. */
const TRY_MS = 1;
const MAX_PASSES = 20;

const policy = { decisionMs: 100, perWorkerMs: 0 };

const makeTask = (milliCores: number, queue = makeQueue()): OwnedTask => {
  const size = { milliCores, memoryMb: 1_000, accelerators: 0 };
  const [task] = makeOwnedStep(makeStep({ longRunning: true, size }), queue).tasks;
  if (!task) throw new Error('the step has no task');
  return task;
};

const idsOf = (tasks: readonly OwnedTask[]): readonly string[] => tasks.map(({ id }) => id);

/** Makes reservations of which a few are allowed at a time, and records the tries. */
const makeReservations = (limit: number, hasRoomSoon: (task: OwnedTask) => boolean) => {
  const clock = new ManualClock();
  const tried: OwnedTask[] = [];
  const reserved: OwnedTask[] = [];
  const reservations = new OverdueReservations({
    clock,
    isAtLimit: () => reserved.length >= limit,
    reserve: (task) => {
      clock.jump(TRY_MS);
      tried.push(task);
      if (!hasRoomSoon(task)) return false;
      reserved.push(task);
      return true;
    },
  });
  return { reservations, tried, reserved };
};

// Guards against a task that loses its place among those that wait because no more workers may be reserved.
test('should reserve for the task that was interrupted first once another reservation ends', (t) => {
  const { reservations, reserved } = makeReservations(1, () => true);
  const [first, second, third, ...others] = Array.from({ length: 10 }, () => makeTask(1_000));
  if (!first || !second || !third) throw new Error('too few tasks');
  reservations.check([first, second, third, ...others]);
  t.deepEqual(idsOf(reserved), [first.id]);
  reservations.check([second, third, ...others]);
  reserved.pop();
  reservations.check([second, third, ...others]);
  t.deepEqual(idsOf(reserved), [second.id]);
});

// Guards against tries for each of many tasks that no worker can take soon, in each pass.
test('should not try larger tasks in a pass after one that no worker has room for soon', (t) => {
  const { reservations, tried } = makeReservations(1, () => false);
  const [small, ...larger] = Array.from({ length: 10 }, (_, index) => makeTask(1_000 + index));
  if (!small) throw new Error('no task');
  reservations.check([small, ...larger]);
  t.deepEqual(idsOf(tried), [small.id]);
});

// Guards against tasks that are never tried because the tries for those before them take all the time.
test('should try each task after some passes although none of the others gets a worker', (t) => {
  const queue = makeQueue({ policy });
  const blocked = Array.from({ length: 50 }, () => makeTask(1_000, queue));
  const last = makeTask(1_000);
  const { reservations, reserved } = makeReservations(1, (task) => task === last);
  for (let pass = 0; pass < MAX_PASSES; pass += 1) reservations.check([...blocked, last]);
  t.deepEqual(idsOf(reserved), [last.id]);
});
