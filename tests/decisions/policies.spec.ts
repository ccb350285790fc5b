/**
 * Checks retries, order, sizes, interference, pressure, pacing and impossible jobs under faults.
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

test('should keep sends within the budget when everything fails', (t) => {
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

test('should place urgent tasks first but never starve the least', (t) => {
  const order = new UrgencyOrder({ agingStepMs: 1_000 });
  const plan = task('plan', {});
  const firstAt = (nowMs: number) =>
    order.order([task('settlement', { priority: 9, enqueuedAtMs: nowMs }), plan], nowMs)[0]?.jobId;

  t.is(firstAt(5_000), 'settlement');
  t.is(firstAt(7_000), 'plan');
});

test('should share a priority among tenants by weight', (t) => {
  const flood = Array.from({ length: 20 }, (_, index) =>
    task(`flood-${index}`, { tenant: 'flooding' }),
  );
  const calm = [0, 1, 2].map((index) =>
    task(`calm-${index}`, { tenant: 'calm', enqueuedAtMs: 10, tenantWeight: 2 }),
  );
  const first = new UrgencyOrder().order([...flood, ...calm], 20).slice(0, 5);

  t.is(first.filter(({ tenant }) => tenant === 'calm').length, 3);
});

test('should lean on the declared size while little is known', (t) => {
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

test('should set more aside than declared for a class that uses more', (t) => {
  const sizes = new LearnedSize();
  const used = { milliCores: 8_000, memoryMb: 20_000, accelerators: 1 };
  for (let count = 0; count < 500; count += 1) sizes.observe('season-plan', DECLARED, used);

  t.true(sizes.estimate('season-plan', DECLARED).memoryMb >= 0.97 * used.memoryMb);
});

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

test('should learn the order of a pair and never predict beyond what was seen', (t) => {
  const model = new LearnedInterference();
  for (let count = 0; count < 200; count += 1) {
    model.observe({ victimClass: 'quick', neighbours: ['rough'], slowdown: 1.5, nowMs: count });
    model.observe({ victimClass: 'rough', neighbours: ['quick'], slowdown: 1, nowMs: count });
  }

  t.true(Math.abs(model.predict('quick', ['rough'], 200) - 1.5) < 0.1);
  t.is(model.predict('rough', ['quick'], 200), 1);
  t.true(model.predict('quick', ['rough', 'rough', 'rough'], 200) <= 1.5 + 1e-9);
});

test('should do nothing about noise that comes in waves', (t) => {
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

test('should throttle before it evicts, and evict what loses least', (t) => {
  const policy = new HysteresisPressure();
  const { throttleShares } = HYSTERESIS_PRESSURE_DEFAULTS;
  let attempts = [
    attempt('dear', { checkpointedAtMs: -600_000 }),
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

test('should ease a throttle later when easing has proved too early', (t) => {
  const policy = new HysteresisPressure();
  const easings: number[] = [];
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
    if (action.share > throttledTo) easings.push(second);
    throttledTo = action.share;
  }
  const gaps = easings.slice(1).map((each, index) => each - (easings[index] ?? 0));

  t.true(easings.length >= 3, `${easings}`);
  t.true(easings.length <= 10, `${easings}`);
  t.true((gaps.at(-1) ?? 0) > (gaps[0] ?? 0), `${gaps}`);
});

test('should not start everything at once when capacity returns', (t) => {
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

test('should name a job that fits no worker, with the limit that stops it', (t) => {
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
