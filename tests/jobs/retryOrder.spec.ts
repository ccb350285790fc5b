/**
 * Tests how the tries of a pass are shared among steps that wait.
 */
import test from 'ava';
import { RetryOrder } from 'samphirenotch/jobs/placement/retryOrder.js';

import { makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep } from '../fixtures/silentFleet.js';

/** Tries of a pass, and passes after which a step must have been tried again. */
const TRIES = 4;
const MAX_PASSES = 20;

const makeSteps = (count: number) => Array.from({ length: count }, () => makeOwnedStep(makeStep()));

// Guards against a step that found no worker once and is never tried again, because enough steps arrive
// meanwhile that were not tried yet.
test('should try a step again while new steps keep coming', (t) => {
  const order = new RetryOrder();
  const [waiting] = makeSteps(1);
  if (!waiting) throw new Error('no step');
  order.record(waiting, false);
  const steps = [waiting];
  const triedIn = Array.from({ length: MAX_PASSES }, () => {
    steps.push(...makeSteps(TRIES));
    const tried = order.next(steps, TRIES);
    tried.forEach((step) => order.record(step, false));
    return tried;
  });
  t.true(triedIn.some((tried) => tried.includes(waiting)));
});

// Guards against an urgent step that found no worker once and waits until all tasks of less urgent steps
// have been started.
test('should try a step again while tasks of other steps are started', (t) => {
  const order = new RetryOrder();
  const steps = makeSteps(1 + TRIES);
  const [waiting] = steps;
  if (!waiting) throw new Error('no step');
  order.record(waiting, false);
  const triedIn = Array.from({ length: MAX_PASSES }, () => {
    const tried = order.next(steps, TRIES);
    tried.forEach((step) => order.record(step, true));
    return tried;
  });
  t.true(triedIn.some((tried) => tried.includes(waiting)));
});

// Guards against urgent steps that wait behind many that were tried in vain.
test('should try the first of the steps that were not tried in vain at once', (t) => {
  const order = new RetryOrder();
  const steps = makeSteps(100);
  steps.forEach((step) => order.record(step, false));
  const [urgent] = makeSteps(1);
  if (!urgent) throw new Error('no step');
  t.true(order.next([...steps, urgent], TRIES).includes(urgent));
});

// Guards against late tasks that start at half the rate because tries go to steps that fit nowhere.
test('should not take tries from steps that did not fail', (t) => {
  const order = new RetryOrder();
  const failed = makeSteps(100);
  failed.forEach((step) => order.record(step, false));
  const startable = makeSteps(TRIES);
  const tried = order.next([...failed, ...startable], TRIES);
  t.true(startable.every((step) => tried.includes(step)));
});
