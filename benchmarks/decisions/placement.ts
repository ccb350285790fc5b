/**
 * Placing tasks: learned placement, sizes and order against first fit and best fit on declared sizes.
 *
 * @packageDocumentation
 */

import { ArrivalOrder } from 'samphirenotch/decisions/arrivalOrder.js';
import { BestFit } from 'samphirenotch/decisions/bestFit.js';
import { DeclaredSize } from 'samphirenotch/decisions/declaredSize.js';
import { FirstFit } from 'samphirenotch/decisions/firstFit.js';
import { LearnedInterference } from 'samphirenotch/decisions/learnedInterference.js';
import { LearnedPlacement } from 'samphirenotch/decisions/learnedPlacement.js';
import { LearnedSize } from 'samphirenotch/decisions/learnedSize.js';
import type { PlacementPolicy } from 'samphirenotch/decisions/placementPolicy.js';
import { UrgencyOrder } from 'samphirenotch/decisions/urgencyOrder.js';

import { type BatchPolicies, runBatch } from '../support/batchFake.js';
import {
  type Comparison,
  compare,
  type Contender,
  type Figures,
  type Metric,
  SEEDS,
} from '../support/comparison.js';
import { FIRMS, type Firm } from '../support/firms.js';

const METRICS: readonly Metric[] = [
  { name: 'urgent done', unit: 'tasks', better: 'higher', notWorse: true },
  { name: 'heavy done', unit: 'tasks', better: 'higher', notWorse: true },
  { name: 'work done', unit: 'core hours', better: 'higher', notWorse: true },
  { name: 'longest urgent wait', unit: 's', better: 'lower', notWorse: true },
  { name: 'longest heavy wait', unit: 's', better: 'lower' },
  { name: 'longest background wait', unit: 's', better: 'lower' },
  { name: 'request slowdown p50', unit: 'times', better: 'lower' },
  { name: 'request slowdown p99', unit: 'times', better: 'lower', notWorse: true },
  { name: 'evictions', unit: 'tasks', better: 'lower', notWorse: true },
];

/** Against the same sizes and order, placement alone has to disturb requests less. */
const PLACEMENT_METRICS: readonly Metric[] = [
  { name: 'work done', unit: 'core hours', better: 'higher', notWorse: true },
  { name: 'heavy done', unit: 'tasks', better: 'higher', notWorse: true },
  { name: 'longest heavy wait', unit: 's', better: 'lower' },
  { name: 'longest background wait', unit: 's', better: 'lower' },
  { name: 'request slowdown p50', unit: 'times', better: 'lower', notWorse: true },
  { name: 'request slowdown p99', unit: 'times', better: 'lower', notWorse: true },
];

const learned = (firm: Firm, nowMs: () => number): BatchPolicies => {
  const interference = new LearnedInterference();
  const placement = new LearnedPlacement(interference, {
    importance: () => 0,
    nowMs,
    requestClasses: () => [firm.quick.taskClass],
  });

  return { placement, order: new UrgencyOrder(), sizes: new LearnedSize(), interference };
};

const runLearned = (firm: Firm, load: number, seed: number): Figures =>
  runBatch({ firm, load, seed, makePolicies: (nowMs) => learned(firm, nowMs) });

const onDeclaredSizes = (
  firm: Firm,
  load: number,
  name: string,
  makePlacement: () => PlacementPolicy,
): Contender => ({
  name,
  run: (seed) =>
    runBatch({
      firm,
      load,
      seed,
      makePolicies: () => ({
        placement: makePlacement(),
        order: new ArrivalOrder(),
        sizes: new DeclaredSize(),
      }),
    }),
});

const onLearnedSizes = (firm: Firm, load: number): Contender => ({
  name: 'best fit, learned sizes',
  run: (seed) =>
    runBatch({
      firm,
      load,
      seed,
      makePolicies: () => ({
        placement: new BestFit(),
        order: new UrgencyOrder(),
        sizes: new LearnedSize(),
      }),
    }),
});

const compareAtLoad = (firm: Firm, load: number): Comparison[] => {
  const plan = {
    decision: 'placement',
    firm: firm.name,
    scenario: `declared sizes far off, load ${load}`,
    seeds: SEEDS,
    runPolicy: (seed: number) => runLearned(firm, load, seed),
  };

  return [
    ...compare({
      ...plan,
      metrics: METRICS,
      baselines: [
        onDeclaredSizes(firm, load, 'first fit', () => new FirstFit()),
        onDeclaredSizes(firm, load, 'best fit', () => new BestFit()),
      ],
    }),
    ...compare({ ...plan, metrics: PLACEMENT_METRICS, baselines: [onLearnedSizes(firm, load)] }),
  ];
};

/**
 * Runs the benchmark.
 *
 * @returns the comparisons
 */
export const comparePlacement = (): Comparison[] =>
  FIRMS.flatMap((firm) => [...compareAtLoad(firm, 0.5), ...compareAtLoad(firm, 1.1)]);
