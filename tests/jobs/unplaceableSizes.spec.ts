/**
 * Tests which steps are skipped for the rest of a pass.
 */
import test from 'ava';
import type { StepSpec } from 'samphirenotch/jobs/model/jobSpec.js';
import { UnplaceableSizes } from 'samphirenotch/jobs/placement/unplaceableSizes.js';
import type { OwnedStep } from 'samphirenotch/jobs/model/ownedJob.js';

import { makeQueue, makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep } from '../fixtures/silentFleet.js';

const makeStepOf = (changes: Partial<StepSpec>, service = 'desk'): OwnedStep =>
  makeOwnedStep(makeStep(changes), makeQueue({ service }));

const size = (milliCores: number, memoryMb = 1_000) => ({
  milliCores,
  memoryMb,
  accelerators: 0,
});

const filler = (image: string, milliCores: number): Partial<StepSpec> => ({
  filler: true,
  image,
  size: size(milliCores),
});

// Guards against skipped tasks that would fit, because they are smaller in one dimension.
test('should skip steps that are not smaller than one of their kind that found no worker', (t) => {
  const unplaceable = new UnplaceableSizes();
  unplaceable.add(makeStepOf(filler('a', 2_000)));
  t.true(unplaceable.includes(makeStepOf(filler('a', 2_000))));
  t.true(unplaceable.includes(makeStepOf(filler('a', 3_000))));
  t.false(unplaceable.includes(makeStepOf(filler('a', 1_999))));
  t.false(unplaceable.includes(makeStepOf({ ...filler('a', 3_000), size: size(3_000, 500) })));
});

// Guards against skipped tasks that have other candidate workers than the one that found none.
test('should try steps with another image, service, label or kind', (t) => {
  const unplaceable = new UnplaceableSizes();
  unplaceable.add(makeStepOf(filler('a', 1_000)));
  t.false(unplaceable.includes(makeStepOf(filler('b', 2_000))));
  t.false(unplaceable.includes(makeStepOf(filler('a', 2_000), 'other')));
  t.false(unplaceable.includes(makeStepOf({ ...filler('a', 2_000), requiredLabel: 'x' })));
  t.false(unplaceable.includes(makeStepOf({ longRunning: true, size: size(2_000) })));
});

// Guards against urgent short tasks for which preemption is never tried.
test('should always try short tasks because preemption can make room for them', (t) => {
  const unplaceable = new UnplaceableSizes();
  unplaceable.add(makeStepOf({ size: size(1_000) }));
  t.false(unplaceable.includes(makeStepOf({ size: size(2_000) })));
});

// Guards against an owner whose time goes into comparing all workers for each of many equal tasks.
test('should know that tasks have no room where an equal one found none', (t) => {
  const unplaceable = new UnplaceableSizes();
  unplaceable.add(makeStepOf({ size: size(1_000) }));
  t.true(unplaceable.hasNoRoom(makeStepOf({ size: size(2_000) })));
  t.true(unplaceable.hasNoRoom(makeStepOf({ size: size(2_000), perWorkerLimit: 1 })));
  t.false(unplaceable.hasNoRoom(makeStepOf({ size: size(999) })));
});

// Guards against tasks that are not placed because others of their size are limited per worker or in a gang.
test('should draw no conclusions from steps that lack more than room', (t) => {
  [{ perWorkerLimit: 1 }, { gang: true }].forEach((restriction) => {
    const unplaceable = new UnplaceableSizes();
    unplaceable.add(makeStepOf({ ...restriction, size: size(1_000) }));
    t.false(unplaceable.hasNoRoom(makeStepOf({ size: size(1_000) })));
  });
});

// Guards against tasks that are skipped in all later passes, although capacity has become free.
test('should forget all sizes at the start of a pass', (t) => {
  const unplaceable = new UnplaceableSizes();
  unplaceable.add(makeStepOf(filler('a', 1_000)));
  unplaceable.clear();
  t.false(unplaceable.includes(makeStepOf(filler('a', 1_000))));
});
