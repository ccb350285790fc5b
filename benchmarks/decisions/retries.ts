/**
 * Retries and hedging: the earned budget against no retries, a fixed budget, and itself unhedged.
 *
 * @packageDocumentation
 */

import { FixedRetryBudget } from 'samphirenotch/decisions/fixedRetryBudget.js';
import { NoRetry } from 'samphirenotch/decisions/noRetry.js';
import { RETRY_BUDGET_DEFAULTS, RetryBudget } from 'samphirenotch/decisions/retryBudget.js';

import {
  type Comparison,
  compare,
  type Contender,
  type Figures,
  type Metric,
  SEEDS,
} from '../support/comparison.js';
import { FIRMS, type Firm } from '../support/firms.js';
import { type RetryScenario, runRetries } from '../support/retryFake.js';

/** Sends per request that the budget may lead to: its ratio, and what it holds at first. */
const LARGEST_SENDS_PER_REQUEST = 1.11;

const SENDS: Metric = {
  name: 'sends per request',
  unit: 'sends',
  better: 'lower',
  limit: LARGEST_SENDS_PER_REQUEST,
};

const IN_TIME: Metric = { name: 'in time', unit: 'share', better: 'higher', notWorse: true };

const TAIL: readonly Metric[] = [
  { name: 'p99', unit: 'ms', better: 'lower', notWorse: true },
  { name: 'p99.9', unit: 'ms', better: 'lower' },
];

const scenario = (name: string, changes: Partial<RetryScenario>): RetryScenario => ({
  name,
  load: 0.6,
  failing: () => 0,
  stalling: 0,
  ...changes,
});

const FAILURES = scenario('3 % of sends fail', { failing: () => 0.03 });

const TOTAL_FAILURE = scenario('everything fails for a while', {
  failing: (nowMs) => (nowMs > 4_000 && nowMs < 10_000 ? 1 : 0),
});

const STALLS = [0.3, 0.6, 0.8, 0.85].map((load) =>
  scenario(`2 % of sends stall, load ${load}`, { load, stalling: 0.02 }),
);

const NO_STALL = scenario('nothing stalls, load 0.95', { load: 0.95 });

const runUnhedged = (firm: Firm, each: RetryScenario, seed: number): Figures => {
  const policy = new RetryBudget({ ...RETRY_BUDGET_DEFAULTS, hedgeQuantile: 0 });

  return runRetries({ firm, scenario: each, seed, policy });
};

const compareBudgets = (firm: Firm, each: RetryScenario): Comparison[] =>
  compare({
    decision: 'retries',
    firm: firm.name,
    scenario: each.name,
    seeds: SEEDS,
    metrics: [IN_TIME, SENDS],
    runPolicy: (seed) => runUnhedged(firm, each, seed),
    baselines: [
      {
        name: 'no retry',
        run: (seed) => runRetries({ firm, scenario: each, seed, policy: new NoRetry() }),
      },
      {
        name: 'fixed budget',
        run: (seed) => {
          const policy = new FixedRetryBudget({ retries: 500, periodMs: 1_000 });

          return runRetries({ firm, scenario: each, seed, policy });
        },
      },
    ],
  });

const compareHedging = (firm: Firm, each: RetryScenario): Comparison[] => {
  const unhedged: Contender = {
    name: 'budget without hedging',
    run: (seed) => runUnhedged(firm, each, seed),
  };

  return compare({
    decision: 'hedging',
    firm: firm.name,
    scenario: each.name,
    seeds: SEEDS,
    metrics: [...TAIL, IN_TIME, SENDS],
    runPolicy: (seed) => runRetries({ firm, scenario: each, seed, policy: new RetryBudget() }),
    baselines: [unhedged],
  });
};

/**
 * Runs the benchmark.
 *
 * @returns the comparisons
 */
export const compareRetries = (): Comparison[] =>
  FIRMS.flatMap((firm) => [
    ...compareBudgets(firm, FAILURES),
    ...compareBudgets(firm, TOTAL_FAILURE),
    ...[...STALLS, NO_STALL].flatMap((each) => compareHedging(firm, each)),
  ]);
