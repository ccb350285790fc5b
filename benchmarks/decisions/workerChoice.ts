/**
 * Choosing a worker for a request: learned choice against random and least outstanding.
 *
 * @packageDocumentation
 */

import { LearnedInterference } from 'samphirenotch/decisions/learnedInterference.js';
import { LearnedWorkerChoice } from 'samphirenotch/decisions/learnedWorkerChoice.js';
import { LeastOutstandingChoice } from 'samphirenotch/decisions/leastOutstandingChoice.js';
import { RandomWorkerChoice } from 'samphirenotch/decisions/randomWorkerChoice.js';

import {
  type Comparison,
  compare,
  type Figures,
  type Metric,
  SEEDS,
} from '../support/comparison.js';
import { FIRMS, type Firm } from '../support/firms.js';
import { type ChoiceScenario, runRequests } from '../support/requestFake.js';

const METRICS: readonly Metric[] = [
  { name: 'p50', unit: 'ms', better: 'lower' },
  { name: 'p99', unit: 'ms', better: 'lower', notWorse: true },
  { name: 'p99.9', unit: 'ms', better: 'lower', notWorse: true },
  { name: 'lost', unit: 'share', better: 'lower', notWorse: true },
];

const SCENARIOS: readonly ChoiceScenario[] = [
  { name: 'steady', load: () => 0.6 },
  { name: 'load shift', load: (nowMs) => (nowMs < 10_000 ? 0.3 : 0.8) },
  { name: 'load shift into overload', load: (nowMs) => (nowMs < 10_000 ? 0.3 : 0.9) },
  {
    name: 'slow workers',
    load: () => 0.6,
    slowness: (worker, nowMs) => (worker % 10 === 3 && nowMs > 5_000 ? 6 : 1),
  },
  {
    name: 'fail everything',
    load: () => 0.6,
    fails: (worker, nowMs) => worker % 10 === 3 && nowMs > 5_000,
  },
  {
    name: 'silent connections',
    load: () => 0.6,
    isSilent: (worker, nowMs) => worker % 10 === 3 && nowMs > 5_000 && nowMs < 12_000,
  },
  {
    name: 'noisy neighbours',
    load: () => 0.6,
    neighbours: (worker, nowMs) =>
      (worker + Math.floor(nowMs / 10_000)) % 4 === 0 ? ['noisy-batch'] : ['calm-batch'],
    disturbance: (neighbour) => (neighbour === 'noisy-batch' ? 2.5 : 1),
  },
];

const runLearned = (firm: Firm, scenario: ChoiceScenario, seed: number): Figures => {
  const choice = new LearnedWorkerChoice(seed + 1, new LearnedInterference());

  return runRequests({ firm, scenario, seed, choice });
};

const compareScenario = (firm: Firm, scenario: ChoiceScenario): Comparison[] =>
  compare({
    decision: 'worker choice',
    firm: firm.name,
    scenario: scenario.name,
    seeds: SEEDS,
    metrics: METRICS,
    runPolicy: (seed) => runLearned(firm, scenario, seed),
    baselines: [
      {
        name: 'random',
        run: (seed) =>
          runRequests({ firm, scenario, seed, choice: new RandomWorkerChoice(seed + 1) }),
      },
      {
        name: 'least outstanding',
        run: (seed) =>
          runRequests({ firm, scenario, seed, choice: new LeastOutstandingChoice(seed + 1) }),
      },
    ],
  });

/**
 * Runs the benchmark.
 *
 * @returns the comparisons
 */
export const compareWorkerChoice = (): Comparison[] =>
  FIRMS.flatMap((firm) => SCENARIOS.flatMap((scenario) => compareScenario(firm, scenario)));
