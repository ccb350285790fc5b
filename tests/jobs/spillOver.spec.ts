/**
 * Tests which waiting tasks are handed to another share.
 */
import test from 'ava';
import { NO_CAPACITY, type ShareCapacity } from 'samphirenotch/jobs/model/shareCapacity.js';
import type { StepSpec } from 'samphirenotch/jobs/model/jobSpec.js';
import { Refusals } from 'samphirenotch/jobs/placement/refusals.js';
import {
  MostFreeRoomSpill,
  type SpillTarget,
  type UnplacedStep,
} from 'samphirenotch/jobs/placement/spillOver.js';

import { makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep } from '../fixtures/silentFleet.js';

const makeTarget = (share: string, changes: Partial<ShareCapacity> = {}): SpillTarget => ({
  share,
  room: { ...NO_CAPACITY, capacity: 100_000, free: 20_000, unused: 20_000, ...changes },
});

const makeUnplaced = (
  spec: Partial<StepSpec> = {},
  changes: Partial<UnplacedStep> = {},
): UnplacedStep => ({
  step: makeOwnedStep(makeStep({ count: 6, ...spec })),
  waitedMs: 10_000,
  hasWorkers: true,
  ...changes,
});

// Guards against a share that is overloaded because several others use all of its reported room.
test('should hand tasks to the share with the most room, up to a fraction of it', (t) => {
  const targets = [
    makeTarget('a'),
    makeTarget('b', { free: 10_000 }),
    makeTarget('c', { free: 5_000 }),
  ];
  const [spill, ...others] = new MostFreeRoomSpill(new Refusals()).choose(
    [makeUnplaced({ count: 30 })],
    targets,
    0,
  );
  t.is(others.length, 0);
  t.is(spill?.to, 'a');
  t.is(spill?.tasks.length, 8);
});

// Guards against room that is used twice before the other share reports again.
test('should not use the same reported room twice', (t) => {
  const policy = new MostFreeRoomSpill(new Refusals());
  const targets = [makeTarget('a')];
  t.is(policy.choose([makeUnplaced({ count: 20 })], targets, 0)[0]?.tasks.length, 20);
  t.deepEqual(policy.choose([makeUnplaced()], targets, 0), []);
  t.is(policy.choose([makeUnplaced()], [makeTarget('a')], 0).length, 1);
});

// Guards against delegation of tasks for which room at home is about to become free.
test('should let tasks wait for room at home first unless no worker there can run them', (t) => {
  const targets = [makeTarget('a')];
  const policy = new MostFreeRoomSpill(new Refusals());
  t.deepEqual(policy.choose([makeUnplaced({}, { waitedMs: 20 })], targets, 0), []);
  t.deepEqual(policy.choose([makeUnplaced({ filler: true }, { waitedMs: 200 })], targets, 0), []);
  t.is(policy.choose([makeUnplaced({}, { waitedMs: 0, hasWorkers: false })], targets, 0).length, 1);
});

// Guards against tasks in shares that cannot run them: fillers need unused, others free processors.
test('should place fillers by unused processors and other tasks by free ones', (t) => {
  const targets = [makeTarget('a', { free: 0 }), makeTarget('b', { unused: 0 })];
  const policy = new MostFreeRoomSpill(new Refusals());
  t.is(policy.choose([makeUnplaced({ filler: true })], targets, 0)[0]?.to, 'a');
  t.is(policy.choose([makeUnplaced()], targets, 0)[0]?.to, 'b');
});

// Guards against a gang that is split over two shares and can start in neither.
test('should hand over all tasks of a gang or none', (t) => {
  const policy = new MostFreeRoomSpill(new Refusals());
  t.deepEqual(policy.choose([makeUnplaced({ gang: true, count: 25 })], [makeTarget('a')], 0), []);
  t.is(
    policy.choose([makeUnplaced({ gang: true, count: 20 })], [makeTarget('a')], 0)[0]?.tasks.length,
    20,
  );
});

// Guards against tasks that are passed back and forth between shares that cannot run them.
test('should skip shares without the label and, for a while, those that returned tasks', (t) => {
  const refusals = new Refusals();
  const policy = new MostFreeRoomSpill(refusals);
  const unplaced = makeUnplaced({ requiredLabel: 'fast' });
  const fast = makeTarget('b', { free: 4_000, labels: new Set(['fast']) });
  t.is(policy.choose([unplaced], [makeTarget('a'), fast], 0)[0]?.to, 'b');
  refusals.note(unplaced.step, 'b', 1_000);
  const again = () => [makeTarget('a'), makeTarget('b', { labels: new Set(['fast']) })];
  t.deepEqual(policy.choose([unplaced], again(), 2_000), []);
  t.is(policy.choose([unplaced], again(), 5_000).length, 1);
});
