/**
 * Pressure: throttle and evict with hysteresis against evicting the youngest at once.
 *
 * @packageDocumentation
 */

import { EvictYoungest } from 'samphirenotch/decisions/evictYoungest.js';
import { HysteresisPressure } from 'samphirenotch/decisions/hysteresisPressure.js';

import { type Comparison, compare, type Metric, SEEDS } from '../support/comparison.js';
import { FIRMS, type Firm } from '../support/firms.js';
import { type PressureScenario, runPressure } from '../support/pressureFake.js';

const METRICS: readonly Metric[] = [
  { name: 'evictions', unit: 'attempts', better: 'lower', notWorse: true },
  { name: 'actions', unit: 'actions', better: 'lower', notWorse: true },
  { name: 'work lost', unit: 'core s', better: 'lower', notWorse: true },
  { name: 'work kept', unit: 'core s', better: 'higher', notWorse: true },
  { name: 'time pressed', unit: 's', better: 'lower' },
];

/** Noise may cause no action at all. */
const NOISE_METRICS: readonly Metric[] = [
  { name: 'actions', unit: 'actions', better: 'lower', limit: 0 },
];

const SCENARIOS: readonly (readonly [PressureScenario, readonly Metric[]])[] = [
  [
    {
      name: 'peaks of two minutes',
      latencyAlone: (nowMs) => (nowMs % 360_000 < 120_000 ? 0.95 : 0.4),
      noise: 0.2,
    },
    METRICS,
  ],
  [
    {
      name: 'noise in waves',
      latencyAlone: (nowMs) => (nowMs % 20_000 < 1_500 ? 1.2 : 0.5),
      noise: 0.3,
    },
    METRICS,
  ],
  [{ name: 'noise alone', latencyAlone: () => 0.65, noise: 0.4 }, NOISE_METRICS],
];

const compareScenario = (
  firm: Firm,
  scenario: PressureScenario,
  metrics: readonly Metric[],
): Comparison[] =>
  compare({
    decision: 'pressure',
    firm: firm.name,
    scenario: scenario.name,
    seeds: SEEDS,
    metrics,
    runPolicy: (seed) => runPressure({ firm, scenario, seed, policy: new HysteresisPressure() }),
    baselines: [
      {
        name: 'evict youngest',
        run: (seed) => {
          const policy = new EvictYoungest({ latencyRatio: 1.2, memoryRatio: 0.95 });

          return runPressure({ firm, scenario, seed, policy });
        },
      },
    ],
  });

/**
 * Runs the benchmark.
 *
 * @returns the comparisons
 */
export const comparePressure = (): Comparison[] =>
  FIRMS.flatMap((firm) =>
    SCENARIOS.flatMap(([scenario, metrics]) => compareScenario(firm, scenario, metrics)),
  );
