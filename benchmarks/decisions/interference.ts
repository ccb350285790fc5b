/**
 * Interference: learned online, between not knowing and knowing the truth.
 *
 * @packageDocumentation
 */

import type { InterferenceModel } from 'samphirenotch/decisions/interferenceModel.js';
import { LearnedInterference } from 'samphirenotch/decisions/learnedInterference.js';
import { LearnedWorkerChoice } from 'samphirenotch/decisions/learnedWorkerChoice.js';
import { NoInterference } from 'samphirenotch/decisions/noInterference.js';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';

import {
  type Comparison,
  compare,
  type Contender,
  type Figures,
  SEEDS,
} from '../support/comparison.js';
import { FIRMS, type Firm, workersPerDataCentre } from '../support/firms.js';
import { type ChoiceScenario, runRequests } from '../support/requestFake.js';
import { mean } from '../support/statistics.js';
import { TruthInterference } from '../support/truthInterference.js';

const CLASSES = ['mild', 'rough', 'quiet', 'odd'];
const SHIFT_MS = 300_000;
const RUN_MS = 600_000;
const STEP_MS = 1_000;
const LAG_MS = 5_000;
const SETTLED_MS = 120_000;
const NOISE = 0.25;

/** Effects that shift half-way: the rough class calms down, and the odd one begins to disturb. */
const effectOf = (neighbour: string, nowMs: number): number => {
  const isLate = nowMs >= SHIFT_MS;
  if (neighbour === 'mild') return 0.05;
  if (neighbour === 'rough') return isLate ? 0.1 : 0.4;
  if (neighbour === 'odd') return isLate ? 0.3 : 0;
  return 0;
};

/** Effects add up and level off, unlike in the model. */
const trueSlowdown = (neighbours: readonly string[], nowMs: number): number => {
  const sum = neighbours.reduce((total, each) => total + effectOf(each, nowMs), 0);
  return 1 + sum / (1 + 0.2 * sum);
};

interface LateReport {
  readonly atMs: number;
  readonly neighbours: readonly string[];
  readonly slowdown: number;
}

const drawNeighbours = (random: SeededRandom): string[] =>
  Array.from(
    { length: 1 + random.below(4) },
    () => CLASSES[random.below(CLASSES.length)] ?? 'quiet',
  );

const runPrediction = (firm: Firm, seed: number, model: InterferenceModel): Figures => {
  const random = new SeededRandom(seed);
  const victimClass = firm.quick.taskClass;
  const reports: LateReport[] = [];
  const errors = { before: [] as number[], after: [] as number[] };
  let wonAgainAtMs = RUN_MS;

  for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
    const stepErrors: number[] = [];
    const stepTruths: number[] = [];

    for (let worker = 0; worker < workersPerDataCentre(firm); worker += 1) {
      const neighbours = drawNeighbours(random);
      const truth = trueSlowdown(neighbours, nowMs);
      const noise = 1 + NOISE * (2 * random.fraction() - 1);
      const predicted = model.predict(victimClass, neighbours, nowMs);
      stepErrors.push(Math.abs(Math.log(predicted / truth)));
      stepTruths.push(Math.log(truth));
      reports.push({ atMs: nowMs + LAG_MS, neighbours, slowdown: truth * noise });
    }

    const due = reports.filter(({ atMs }) => atMs <= nowMs);
    reports.splice(0, due.length);
    for (const { neighbours, slowdown } of due) {
      model.observe({ victimClass, neighbours, slowdown, nowMs });
    }

    const error = mean(stepErrors);
    if (nowMs >= SETTLED_MS && nowMs < SHIFT_MS) errors.before.push(error);
    if (nowMs >= SHIFT_MS + SETTLED_MS) errors.after.push(error);
    const isWon = error < 0.2 * mean(stepTruths);
    if (nowMs > SHIFT_MS && isWon) wonAgainAtMs = Math.min(wonAgainAtMs, nowMs);
  }

  return {
    'error before shift': mean(errors.before),
    'error after shift': mean(errors.after),
    '80 % won after shift': (wonAgainAtMs - SHIFT_MS) / 1_000,
  };
};

const runNoiseAlone = (firm: Firm, seed: number, model: InterferenceModel): Figures => {
  const random = new SeededRandom(seed);
  const victimClass = firm.quick.taskClass;
  let largest = 1;

  for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
    const neighbours = drawNeighbours(random);
    const slowdown = 1 + NOISE * (2 * random.fraction() - 1);
    model.observe({ victimClass, neighbours, slowdown, nowMs });
    if (nowMs > SETTLED_MS) {
      largest = Math.max(largest, model.predict(victimClass, neighbours, nowMs));
    }
  }

  return { 'largest prediction': largest };
};

const NOISY: ChoiceScenario = {
  name: 'noisy neighbours',
  load: () => 0.6,
  neighbours: (worker, nowMs) =>
    (worker + Math.floor(nowMs / 10_000)) % 4 === 0 ? ['noisy-batch'] : ['calm-batch'],
  disturbance: (neighbour) => (neighbour === 'noisy-batch' ? 2.5 : 1),
};

const runChoice = (firm: Firm, seed: number, model: InterferenceModel): Figures =>
  runRequests({ firm, scenario: NOISY, seed, choice: new LearnedWorkerChoice(seed + 1, model) });

const truth = (): InterferenceModel =>
  new TruthInterference((neighbour) => NOISY.disturbance?.(neighbour) ?? 1);

const shared = (firm: Firm) => ({
  decision: 'interference',
  firm: firm.name,
  seeds: SEEDS,
});

const notKnowing = (run: (seed: number, model: InterferenceModel) => Figures): Contender => ({
  name: 'not knowing',
  run: (seed) => run(seed, new NoInterference()),
});

const comparePredictions = (firm: Firm): Comparison[] => {
  const run = (seed: number, model: InterferenceModel): Figures => runPrediction(firm, seed, model);

  return compare({
    ...shared(firm),
    scenario: 'two effects shift',
    metrics: [
      { name: 'error before shift', unit: 'log', better: 'lower', notWorse: true },
      { name: 'error after shift', unit: 'log', better: 'lower', notWorse: true },
      { name: '80 % won after shift', unit: 's', better: 'lower', notWorse: true },
    ],
    runPolicy: (seed) => run(seed, new LearnedInterference()),
    baselines: [notKnowing(run)],
  });
};

const compareNoise = (firm: Firm): Comparison[] => {
  const run = (seed: number, model: InterferenceModel): Figures => runNoiseAlone(firm, seed, model);

  return compare({
    ...shared(firm),
    scenario: 'noise alone',
    metrics: [{ name: 'largest prediction', unit: 'times', better: 'lower', notWorse: true }],
    runPolicy: (seed) => run(seed, new LearnedInterference()),
    baselines: [notKnowing(run)],
  });
};

const compareChoices = (firm: Firm): Comparison[] => {
  const run = (seed: number, model: InterferenceModel): Figures => runChoice(firm, seed, model);

  return [
    ...compare({
      ...shared(firm),
      scenario: 'choice among workers',
      metrics: [
        { name: 'p99', unit: 'ms', better: 'lower', notWorse: true },
        { name: 'p99.9', unit: 'ms', better: 'lower', notWorse: true },
      ],
      runPolicy: (seed) => run(seed, new LearnedInterference()),
      baselines: [notKnowing(run)],
    }),
    ...compare({
      ...shared(firm),
      scenario: 'choice among workers',
      metrics: [
        { name: 'p99', unit: 'ms', better: 'lower' },
        { name: 'p99.9', unit: 'ms', better: 'lower' },
      ],
      runPolicy: (seed) => run(seed, new LearnedInterference()),
      baselines: [{ name: 'knowing the truth', run: (seed) => run(seed, truth()) }],
    }),
  ];
};

/**
 * Runs the benchmark.
 *
 * @returns the comparisons
 */
export const compareInterference = (): Comparison[] =>
  FIRMS.flatMap((firm) => [
    ...comparePredictions(firm),
    ...compareNoise(firm),
    ...compareChoices(firm),
  ]);
