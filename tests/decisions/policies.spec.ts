/**
 * Tests of the policies for retries, queue order, sizes, interference, pressure, pacing and
 * infeasible jobs.
 *
 * @packageDocumentation
 */

import test from 'ava';
import { CapacityFeasibilityCheck } from 'samphirenotch/decisions/capacityFeasibilityCheck.js';
import {
  HYSTERESIS_PRESSURE_DEFAULTS,
  HysteresisPressure,
} from 'samphirenotch/decisions/hysteresisPressure.js';
import { LearnedInterference } from 'samphirenotch/decisions/learnedInterference.js';
import { LEARNED_SIZE_DEFAULTS, LearnedSize } from 'samphirenotch/decisions/learnedSize.js';
import { PacedStarts } from 'samphirenotch/decisions/pacedStarts.js';
import type { QueuedTask } from 'samphirenotch/decisions/placementPolicy.js';
import type { PressureAttempt } from 'samphirenotch/decisions/pressurePolicy.js';
import { RETRY_BUDGET_DEFAULTS, RetryBudget } from 'samphirenotch/decisions/retryBudget.js';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
import { UrgencyOrder } from 'samphirenotch/decisions/urgencyOrder.js';

const DECLARED = { milliCores: 4_000, memoryMb: 8_192, accelerators: 1 };

const task = (jobId: string, changes: Partial<QueuedTask>): QueuedTask => ({
  jobId,
  taskClass: 'season-plan',
  tenant: 'curators',
  tenantWeight: 1,
  priority: 3,
  enqueuedAtMs: 0,
  size: DECLARED,
  ...changes,
});

const attempt = (attemptId: string, changes: Partial<PressureAttempt>): PressureAttempt => ({
  attemptId,
  taskClass: 'season-plan',
  priority: 3,
  startedAtMs: 0,
  checkpointedAtMs: 0,
  milliCores: 4_000,
  memoryMb: 8_192,
  throttledTo: 1,
  predictedSlowdown: 1.3,
  ...changes,
});

// When a service fails every request, unlimited retries multiply its load and prevent its recovery.
test('should keep retries within the budget when every request fails', (t) => {
  const budget = new RetryBudget();
  let retries = 0;
  for (let first = 0; first < 10_000; first += 1) {
    budget.recordFirstSend();
    while (budget.tryRetry()) retries += 1;
  }
  const { tokensPerFirstSend, maximumTokens } = RETRY_BUDGET_DEFAULTS;

  t.true(retries <= 10_000 * tokensPerFirstSend + maximumTokens, `${retries}`);
  t.true(retries >= 10_000 * tokensPerFirstSend - 1);
});

// Without aging, a steady supply of urgent tasks keeps tasks of low priority waiting for ever.
test('should place urgent tasks first but not starve tasks of low priority', (t) => {
  const order = new UrgencyOrder({ agingStepMs: 1_000 });
  const plan = task('plan', {});
  const firstAt = (nowMs: number) =>
    order.order([task('settlement', { priority: 9, enqueuedAtMs: nowMs }), plan], nowMs)[0]?.jobId;

  t.is(firstAt(5_000), 'settlement');
  t.is(firstAt(7_000), 'plan');
});

// A tenant that queues many tasks first must not delay those of another tenant until all of its own
// are placed.
test('should alternate between tenants of equal priority by their weights', (t) => {
  const flood = Array.from({ length: 20 }, (_, index) =>
    task(`flood-${index}`, { tenant: 'flooding' }),
  );
  const calm = [0, 1, 2].map((index) =>
    task(`calm-${index}`, { tenant: 'calm', enqueuedAtMs: 10, tenantWeight: 2 }),
  );
  const first = new UrgencyOrder().order([...flood, ...calm], 20).slice(0, 5);

  t.is(first.filter(({ tenant }) => tenant === 'calm').length, 3);
});

// One low usage report must not shrink the reservation of a whole class; many of them should.
test('should stay close to the declared size until there are many usage reports', (t) => {
  const sizes = new LearnedSize();
  t.deepEqual(sizes.estimate('season-plan', DECLARED), DECLARED);
  const used = { milliCores: 1_000, memoryMb: 2_048, accelerators: 0 };
  sizes.observe('season-plan', DECLARED, used);
  const early = sizes.estimate('season-plan', DECLARED);
  for (let count = 0; count < 1_000; count += 1) sizes.observe('season-plan', DECLARED, used);
  const late = sizes.estimate('season-plan', DECLARED);

  t.true(early.milliCores > 0.9 * DECLARED.milliCores);
  t.true(late.milliCores >= used.milliCores && late.milliCores < 1.1 * used.milliCores);
  t.is(late.accelerators, DECLARED.accelerators);
  t.true(late.memoryMb >= LEARNED_SIZE_DEFAULTS.minimumShare * DECLARED.memoryMb);
});

// If a class uses more memory than declared, reservations of the declared size overcommit workers.
test('should reserve more than the declared size for a class that uses more', (t) => {
  const sizes = new LearnedSize();
  const used = { milliCores: 8_000, memoryMb: 20_000, accelerators: 1 };
  for (let count = 0; count < 500; count += 1) sizes.observe('season-plan', DECLARED, used);

  t.true(sizes.estimate('season-plan', DECLARED).memoryMb >= 0.97 * used.memoryMb);
});

// Random variation of latency must not be taken for interference, which would keep tasks off
// workers without need.
test('should predict no interference from noise alone', (t) => {
  const model = new LearnedInterference();
  const random = new SeededRandom(3);
  const classes = ['calm', 'quiet', 'still'];
  let largest = 1;
  for (let second = 0; second < 5_000; second += 1) {
    const neighbours = classes.filter(() => random.fraction() < 0.5);
    const slowdown = Math.exp(0.25 * (2 * random.fraction() - 1));
    const nowMs = second * 1_000;
    model.observe({ victimClass: 'quick', neighbours, slowdown, nowMs });
    if (second > 100) largest = Math.max(largest, model.predict('quick', classes, nowMs));
  }

  t.true(largest < 1.05, `${largest}`);
});

// Interference is asymmetric, so a symmetric model would blame the wrong class. Adding up the
// effects of several neighbours must not exceed the largest slowdown that was measured.
test('should learn asymmetric interference and predict at most the largest measured slowdown', (t) => {
  const model = new LearnedInterference();
  for (let count = 0; count < 200; count += 1) {
    model.observe({ victimClass: 'quick', neighbours: ['rough'], slowdown: 1.5, nowMs: count });
    model.observe({ victimClass: 'rough', neighbours: ['quick'], slowdown: 1, nowMs: count });
  }

  t.true(Math.abs(model.predict('quick', ['rough'], 200) - 1.5) < 0.1);
  t.is(model.predict('rough', ['quick'], 200), 1);
  t.true(model.predict('quick', ['rough', 'rough', 'rough'], 200) <= 1.5 + 1e-9);
});

// Short peaks of latency that pass on their own must not lead to throttling or evictions.
test('should take no action on short periodic peaks of latency', (t) => {
  const policy = new HysteresisPressure();
  const attempts = [attempt('a', {}), attempt('b', { predictedSlowdown: 1.1 })];
  const actions = Array.from({ length: 600 }, (_, second) =>
    policy.decide({
      workerId: 'worker-0',
      nowMs: second * 1_000,
      latencyRatio: second % 20 < 2 ? 2 : 0.9,
      memoryRatio: 0.5,
      attempts,
    }),
  ).flat();

  t.deepEqual(actions, []);
});

// Evictions lose work. They come after throttling, affect only attempts that slow requests, and
// start with the attempt that loses least work.
test('should throttle before evicting, and evict the attempt that loses the least work', (t) => {
  const policy = new HysteresisPressure();
  const { throttleShares } = HYSTERESIS_PRESSURE_DEFAULTS;
  let attempts = [
    attempt('expensive', { checkpointedAtMs: -600_000 }),
    attempt('cheap', { checkpointedAtMs: 0 }),
    attempt('harmless', { predictedSlowdown: 1 }),
  ];
  const kinds: string[] = [];
  for (let second = 0; second < 120 && !kinds.includes('evict cheap'); second += 1) {
    const reading = { workerId: 'worker-0', nowMs: second * 1_000, latencyRatio: 2 };
    for (const action of policy.decide({ ...reading, memoryRatio: 0.5, attempts })) {
      kinds.push(`${action.kind} ${action.attemptId}`);
      const throttledTo = action.kind === 'throttle' ? action.share : 1;
      attempts = attempts.map((each) =>
        each.attemptId === action.attemptId ? { ...each, throttledTo } : each,
      );
    }
  }

  t.is(kinds.length, 2 * throttleShares.length + 1);
  t.true(kinds.slice(0, -1).every((each) => each.startsWith('throttle')));
  t.is(kinds.at(-1), 'evict cheap');
  t.false(kinds.some((each) => each.includes('harmless')));
});

// If pressure returns whenever a throttle is loosened, a constant delay makes the worker oscillate
// between throttling and pressure. The delay has to grow.
test('should wait longer before loosening a throttle after a loosening was too early', (t) => {
  const policy = new HysteresisPressure();
  const loosenings: number[] = [];
  let throttledTo = 1;
  for (let second = 0; second < 900; second += 1) {
    const [action] = policy.decide({
      workerId: 'worker-0',
      nowMs: second * 1_000,
      latencyRatio: throttledTo === 1 ? 1.6 : 0.6,
      memoryRatio: 0.5,
      attempts: [attempt('a', { throttledTo })],
    });
    if (action?.kind !== 'throttle') continue;
    if (action.share > throttledTo) loosenings.push(second);
    throttledTo = action.share;
  }
  const gaps = loosenings.slice(1).map((each, index) => each - (loosenings[index] ?? 0));

  t.true(loosenings.length >= 3, `${loosenings}`);
  t.true(loosenings.length <= 10, `${loosenings}`);
  t.true((gaps.at(-1) ?? 0) > (gaps[0] ?? 0), `${gaps}`);
});

// When a data centre returns, starting all waiting tasks at once overloads the workers and the
// store.
test('should pace starts when capacity returns', (t) => {
  const pacing = new PacedStarts();
  const startsAt = (nowMs: number) => {
    let starts = 0;
    while (starts < 10_000 && pacing.tryStart(nowMs)) starts += 1;
    return starts;
  };
  pacing.capacityReturned(0);
  const early = startsAt(1_000);

  t.true(early > 0 && early < 20, `${early}`);
  t.is(startsAt(60_000), 10_000);
});

// A job that is larger than every worker would wait for ever. It has to be reported together with
// the limit that it exceeds, but not while the workers are unknown.
test('should report a job that fits no worker with the limit that it exceeds', (t) => {
  const check = new CapacityFeasibilityCheck();
  const worker = (milliCores: number, memoryMb: number) => ({
    dataCentre: 'nitra',
    capacity: { milliCores, memoryMb, accelerators: 0 },
  });
  const requested = { milliCores: 8_000, memoryMb: 16_000, accelerators: 0 };

  t.is(check.findInfeasibility(requested, [worker(8_000, 16_000)], 0, 3), undefined);
  t.is(check.findInfeasibility(requested, [worker(4_000, 16_000)], 0, 3)?.limit, 'milliCores');
  t.is(
    check.findInfeasibility(requested, [worker(4_000, 16_000), worker(8_000, 8_000)], 0, 3)?.limit,
    'capacity',
  );
  t.is(check.findInfeasibility(requested, [], 0, 3), undefined);
  t.is(check.findInfeasibility(requested, [worker(8_000, 16_000)], 3, 3)?.limit, 'maximumAttempts');
});
