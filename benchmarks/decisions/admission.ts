/**
 * Admission: the deadline queue against first come, first served with two fixed limits.
 *
 * @packageDocumentation
 */

import { DeadlineQueue } from 'samphirenotch/decisions/deadlineQueue.js';
import { FifoQueue } from 'samphirenotch/decisions/fifoQueue.js';

import { type AdmissionScenario, runAdmission } from '../support/admissionFake.js';
import {
  type Comparison,
  compare,
  type Figures,
  type Metric,
  SEEDS,
} from '../support/comparison.js';
import { FIRMS, type Firm, workersPerDataCentre } from '../support/firms.js';

const METRICS: readonly Metric[] = [
  { name: 'goodput', unit: 'share of capacity', better: 'higher', notWorse: true },
  { name: 'quick in time', unit: 'share', better: 'higher', notWorse: true },
  { name: 'least tenant', unit: 'share of fair', better: 'higher', notWorse: true },
];

/** Useful work past full load may not fall below that at full load, but for the resolution. */
const OVERLOAD_METRICS: readonly Metric[] = [
  ...METRICS,
  { name: 'goodput kept', unit: 'of that at 1x', better: 'higher', limit: 0.98 },
];

const RETURN_METRICS: readonly Metric[] = [
  ...METRICS,
  { name: 'returns in time', unit: 'share', better: 'higher', notWorse: true },
];

const isUsual = (): number => 1;

const constant = (load: number): AdmissionScenario => ({
  name: `${load}x`,
  load: () => load,
  slowness: isUsual,
  callersReturn: false,
});

const SLOW_SPELL: AdmissionScenario = {
  name: '0.8x, slow spell',
  load: () => 0.8,
  slowness: (nowMs) => (nowMs > 4_000 && nowMs < 9_000 ? 3 : 1),
  callersReturn: false,
};

const BURSTS: AdmissionScenario = {
  name: 'bursts of 5x, callers return',
  load: (nowMs) => (nowMs % 4_000 < 1_000 ? 5 : 0.3),
  slowness: isUsual,
  callersReturn: true,
};

const runDeadlineQueue = (firm: Firm, scenario: AdmissionScenario, seed: number): Figures =>
  runAdmission({ firm, scenario, seed, queue: new DeadlineQueue() });

const runFifo = (
  firm: Firm,
  scenario: AdmissionScenario,
  seed: number,
  waitingPerSlot: number,
): Figures => {
  const limit = waitingPerSlot * workersPerDataCentre(firm) * firm.slots;

  return runAdmission({ firm, scenario, seed, queue: new FifoQueue(limit) });
};

const withGoodputKept = (
  scenario: AdmissionScenario,
  run: (scenario: AdmissionScenario) => Figures,
): Figures => {
  const figures = run(scenario);
  const atFullLoad = run(constant(1))['goodput'] ?? 1;

  return { ...figures, 'goodput kept': (figures['goodput'] ?? 0) / atFullLoad };
};

const compareScenario = (
  firm: Firm,
  scenario: AdmissionScenario,
  metrics: readonly Metric[],
): Comparison[] => {
  const measure = (run: (scenario: AdmissionScenario) => Figures): Figures =>
    metrics === OVERLOAD_METRICS ? withGoodputKept(scenario, run) : run(scenario);

  return compare({
    decision: 'admission',
    firm: firm.name,
    scenario: scenario.name,
    seeds: SEEDS,
    metrics,
    runPolicy: (seed) => measure((each) => runDeadlineQueue(firm, each, seed)),
    baselines: [
      { name: 'fifo, 2 per slot', run: (seed) => measure((each) => runFifo(firm, each, seed, 2)) },
      {
        name: 'fifo, 10 per slot',
        run: (seed) => measure((each) => runFifo(firm, each, seed, 10)),
      },
    ],
  });
};

/**
 * Runs the benchmark.
 *
 * @returns the comparisons
 */
export const compareAdmission = (): Comparison[] =>
  FIRMS.flatMap((firm) => [
    ...compareScenario(firm, constant(0.5), METRICS),
    ...compareScenario(firm, constant(1), METRICS),
    ...compareScenario(firm, constant(2), OVERLOAD_METRICS),
    ...compareScenario(firm, constant(5), OVERLOAD_METRICS),
    ...compareScenario(firm, SLOW_SPELL, METRICS),
    ...compareScenario(firm, BURSTS, RETURN_METRICS),
  ]);
