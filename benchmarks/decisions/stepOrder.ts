/**
 * Order of waiting steps: those that can be in time by priority and deadline, against first come.
 *
 * @packageDocumentation
 */

import { FirstComeStepOrder } from 'samphirenotch/jobs/placement/firstComeStepOrder.js';
import { DeadlineStepOrder } from 'samphirenotch/jobs/placement/stepOrder.js';

import { type Comparison, compare, type Metric, SEEDS } from '../support/comparison.js';
import {
  runStepOrder,
  type JobKind,
  type StepOrderRun,
  type StepOrderScenario,
} from '../support/stepOrderFake.js';

const METRICS: readonly Metric[] = [
  { name: 'worth', unit: 'of owed', better: 'higher', notWorse: true },
  { name: 'urgent in time', unit: 'share', better: 'higher', notWorse: true },
  { name: 'heavy in time', unit: 'share', better: 'higher' },
];

const SCENARIOS: readonly StepOrderScenario[] = [
  { name: 'load 0.7', load: 0.7, burst: 1 },
  { name: 'load 0.7, heavy jobs in a burst', load: 0.7, burst: 2.6 },
  { name: 'load 1.2', load: 1.2, burst: 1 },
];

/** As the letter's table of both deployments has them. */
const FIRMS: readonly {
  readonly name: string;
  readonly urgent: JobKind;
  readonly heavy: JobKind;
  readonly urgentShare: number;
}[] = [
  {
    name: 'council',
    urgentShare: 0.12,
    urgent: {
      priority: 0,
      steps: 2,
      tasks: 6,
      taskMs: 1_000,
      milliCores: 1_100,
      stretch: 1.5,
      targetLatencyMs: 250,
      worth: 0.374,
      lateWorth: 0.0561,
    },
    heavy: {
      priority: 2,
      steps: 2,
      tasks: 8,
      taskMs: 2_200,
      milliCores: 1_800,
      stretch: 2,
      targetLatencyMs: 1_000,
      worth: 1.56,
      lateWorth: 0.234,
    },
  },
  {
    name: 'kovacik',
    urgentShare: 0.15,
    urgent: {
      priority: 0,
      steps: 2,
      tasks: 6,
      taskMs: 640,
      milliCores: 2_800,
      stretch: 1.5,
      targetLatencyMs: 250,
      worth: 0.325,
      lateWorth: 0.0487,
    },
    heavy: {
      priority: 2,
      steps: 2,
      tasks: 8,
      taskMs: 2_700,
      milliCores: 3_500,
      stretch: 2,
      targetLatencyMs: 1_000,
      worth: 1.98,
      lateWorth: 0.297,
    },
  },
];

const compareScenario = (
  { name, ...firm }: (typeof FIRMS)[number],
  scenario: StepOrderScenario,
): Comparison[] => {
  const run = (seed: number, order: StepOrderRun['order']) =>
    runStepOrder({ ...firm, scenario, seed, order });
  return compare({
    decision: 'step order',
    firm: name,
    scenario: scenario.name,
    seeds: SEEDS,
    metrics: METRICS,
    runPolicy: (seed) => run(seed, new DeadlineStepOrder()),
    baselines: [{ name: 'first come', run: (seed) => run(seed, new FirstComeStepOrder()) }],
  });
};

/**
 * Runs the benchmark.
 *
 * @returns the comparisons
 */
export const compareStepOrder = (): Comparison[] =>
  FIRMS.flatMap((firm) => SCENARIOS.flatMap((scenario) => compareScenario(firm, scenario)));
