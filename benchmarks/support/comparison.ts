/**
 * What a benchmark reports: a policy and its baseline side by side.
 *
 * @packageDocumentation
 */

import { mean } from './statistics.js';

/** Whether less or more of a metric is wished for. */
export type Direction = 'lower' | 'higher';

/** Figures of one run, by metric. */
export type Figures = Readonly<Record<string, number>>;

/** What a metric means, and what is demanded of it. */
export interface Metric {
  readonly name: string;
  readonly unit: string;
  readonly better: Direction;
  /** Bound on the value of the policy itself, from the brief or the letter. */
  readonly limit?: number;
  /** Whether the policy may be no worse than the baseline. */
  readonly notWorse?: boolean;
}

/** One metric of one scenario, as the mean over seeds. */
export interface Comparison {
  readonly decision: string;
  readonly firm: string;
  readonly scenario: string;
  readonly metric: string;
  readonly unit: string;
  readonly better: Direction;
  readonly baselineName: string;
  readonly baseline: number;
  readonly policy: number;
  /** Policy relative to baseline; `null` if the baseline is 0. */
  readonly ratio: number | null;
  readonly seeds: number;
  /** Smallest and largest ratio over single seeds. */
  readonly ratioRange: readonly [number, number] | null;
  readonly bounds: readonly string[];
  readonly isMet: boolean;
}

/** A comparison to be made. */
export interface ComparisonPlan {
  readonly decision: string;
  readonly firm: string;
  readonly scenario: string;
  readonly seeds: readonly number[];
  readonly metrics: readonly Metric[];
  readonly baselines: readonly Contender[];
  readonly runPolicy: (seed: number) => Figures;
}

/** A baseline to run. */
export interface Contender {
  readonly name: string;
  readonly run: (seed: number) => Figures;
}

/** Seeds of every benchmark. */
export const SEEDS: readonly number[] = [11, 23, 37, 53, 71];

/** Differences within this share of the baseline count as none. */
const RESOLUTION = 0.02;

const isNotWorse = (policy: number, baseline: number, better: Direction): boolean =>
  better === 'lower'
    ? policy <= baseline * (1 + RESOLUTION)
    : policy >= baseline * (1 - RESOLUTION);

const isWithin = (policy: number, limit: number, better: Direction): boolean =>
  better === 'lower' ? policy <= limit : policy >= limit;

const describeBounds = ({ better, limit, notWorse }: Metric): string[] => [
  ...(notWorse ? ['not worse than the baseline'] : []),
  ...(limit === undefined ? [] : [`${better === 'lower' ? 'at most' : 'at least'} ${limit}`]),
];

const rangeOf = (
  baselines: readonly number[],
  policies: readonly number[],
): readonly [number, number] | null => {
  if (baselines.some((each) => each === 0)) return null;
  const ratios = policies.map((policy, index) => policy / (baselines[index] ?? 1));
  return [Math.min(...ratios), Math.max(...ratios)];
};

const compareMetric = (
  plan: ComparisonPlan,
  metric: Metric,
  baselineName: string,
  baselineRuns: readonly Figures[],
  policyRuns: readonly Figures[],
): Comparison => {
  const baselines = baselineRuns.map((run) => run[metric.name] ?? 0);
  const policies = policyRuns.map((run) => run[metric.name] ?? 0);
  const baseline = mean(baselines);
  const policy = mean(policies);
  const isBetterThanBaseline = !metric.notWorse || isNotWorse(policy, baseline, metric.better);
  const isInLimit = metric.limit === undefined || isWithin(policy, metric.limit, metric.better);

  return {
    decision: plan.decision,
    firm: plan.firm,
    scenario: plan.scenario,
    metric: metric.name,
    unit: metric.unit,
    better: metric.better,
    baselineName,
    baseline,
    policy,
    ratio: baseline === 0 ? null : policy / baseline,
    seeds: plan.seeds.length,
    ratioRange: rangeOf(baselines, policies),
    bounds: describeBounds(metric),
    isMet: isBetterThanBaseline && isInLimit,
  };
};

/**
 * Runs policy and baseline on the same seeds.
 *
 * @param plan - what to run and what to compare
 * @returns one comparison per metric
 */
export const compare = (plan: ComparisonPlan): Comparison[] => {
  const policyRuns = plan.seeds.map((seed) => plan.runPolicy(seed));

  return plan.baselines.flatMap(({ name, run }) => {
    const baselineRuns = plan.seeds.map((seed) => run(seed));

    return plan.metrics.map((metric) =>
      compareMetric(plan, metric, name, baselineRuns, policyRuns),
    );
  });
};
