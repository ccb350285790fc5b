/**
 * A data centre leaves and returns: order by urgency, checkpoints and paced starts against arrival
 * order without either.
 *
 * @packageDocumentation
 */

import { ArrivalOrder } from 'samphirenotch/decisions/arrivalOrder.js';
import { PacedStarts } from 'samphirenotch/decisions/pacedStarts.js';
import { UnpacedStarts } from 'samphirenotch/decisions/unpacedStarts.js';
import { UrgencyOrder } from 'samphirenotch/decisions/urgencyOrder.js';

import { type Comparison, compare, type Metric, SEEDS } from '../support/comparison.js';
import { FIRMS, type Firm } from '../support/firms.js';
import { runReturn } from '../support/returnFake.js';

const METRICS: readonly Metric[] = [
  { name: 'work of possible', unit: 'share', better: 'higher', notWorse: true },
  { name: 'urgent done', unit: 'tasks', better: 'higher', notWorse: true },
  { name: 'longest urgent wait', unit: 's', better: 'lower', notWorse: true },
  { name: 'most starting at once', unit: 'of its room', better: 'lower', notWorse: true },
  { name: 'filled again after', unit: 's', better: 'lower' },
];

const compareFirm = (firm: Firm): Comparison[] =>
  compare({
    decision: 'data centre leaves and returns',
    firm: firm.name,
    scenario: 'out for ten minutes',
    seeds: SEEDS,
    metrics: METRICS,
    runPolicy: (seed) =>
      runReturn({
        firm,
        seed,
        policies: {
          order: new UrgencyOrder(),
          pacing: new PacedStarts(),
          takesCheckpoints: true,
        },
      }),
    baselines: [
      {
        name: 'arrival order, unpaced',
        run: (seed) =>
          runReturn({
            firm,
            seed,
            policies: {
              order: new ArrivalOrder(),
              pacing: new UnpacedStarts(),
              takesCheckpoints: false,
            },
          }),
      },
    ],
  });

/**
 * Runs the benchmark.
 *
 * @returns the comparisons
 */
export const compareDataCentreReturn = (): Comparison[] => FIRMS.flatMap(compareFirm);
