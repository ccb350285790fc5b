/**
 * Learns interference online for each ordered pair of classes. What has not been seen counts as no
 * interference, and what was seen long ago counts less.
 */
import { PairEffect } from './pairEffect.js';

import type { InterferenceModel, SlowdownObservation } from './interferenceModel.js';
import type { PairEffectSettings } from './pairEffect.js';

/** Settings of the model. The logarithm of the slowdown adds up over neighbours. */
export interface LearnedInterferenceSettings extends PairEffectSettings {
  /** Standard deviation of the logarithm of a measured slowdown around its expectation. */
  readonly measurementDeviation: number;
  /** Effects below this are treated as none. */
  readonly minimumEffect: number;
}

/** Settings that the entry uses unless told otherwise. */
export const LEARNED_INTERFERENCE_DEFAULTS: LearnedInterferenceSettings = {
  measurementDeviation: 0.2,
  priorDeviation: 0.3,
  driftVariancePerSecond: 0.00003,
  decayHalfLifeMs: 600_000,
  significantDeviations: 3,
  minimumEffect: 0.03,
};

const countClasses = (neighbours: readonly string[]): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const each of neighbours) counts.set(each, (counts.get(each) ?? 0) + 1);
  return counts;
};

/** Effects of neighbours, each with how sure it is. */
export class LearnedInterference implements InterferenceModel {
  private readonly settings: LearnedInterferenceSettings;

  private readonly effects = new Map<string, Map<string, PairEffect>>();

  /** Largest slowdown seen per victim, as a logarithm. */
  private readonly largestObserved = new Map<string, number>();

  /**
   * @param settings - noise, prior and decay
   */
  constructor(settings: LearnedInterferenceSettings = LEARNED_INTERFERENCE_DEFAULTS) {
    this.settings = settings;
  }

  /**
   * Predicts a slowdown, never above the largest that was seen.
   *
   * @param victimClass - class that is slowed
   * @param neighbours - classes beside it
   * @param nowMs - time, in milliseconds
   * @returns the slowdown; 1 is none
   */
  predict(victimClass: string, neighbours: readonly string[], nowMs: number): number {
    const known = this.effects.get(victimClass);
    if (!known) return 1;
    let sum = 0;
    for (const neighbour of neighbours) {
      const significant = known.get(neighbour)?.significantMean(nowMs) ?? 0;
      if (significant >= this.settings.minimumEffect) sum += significant;
    }
    return Math.exp(Math.min(sum, this.largestObserved.get(victimClass) ?? 0));
  }

  /**
   * Learns from a measurement.
   *
   * @param observation - victim, neighbours and slowdown
   */
  observe(observation: SlowdownObservation): void {
    const { victimClass, neighbours, slowdown, nowMs } = observation;
    const logSlowdown = Math.log(Math.max(slowdown, Number.MIN_VALUE));
    const largest = this.largestObserved.get(victimClass) ?? 0;
    this.largestObserved.set(victimClass, Math.max(largest, logSlowdown));
    if (neighbours.length === 0) return;
    this.correct(victimClass, countClasses(neighbours), logSlowdown, nowMs);
  }

  /** Splits the error of the prediction among neighbours by how unsure each effect is. */
  private correct(
    victimClass: string,
    counts: ReadonlyMap<string, number>,
    logSlowdown: number,
    nowMs: number,
  ): void {
    let predicted = 0;
    let totalVariance = this.settings.measurementDeviation ** 2;
    for (const [neighbour, count] of counts) {
      const effect = this.effectOf(victimClass, neighbour, nowMs);
      effect.decayTo(nowMs);
      predicted += count * effect.mean();
      totalVariance += count ** 2 * effect.variance();
    }
    const error = logSlowdown - predicted;
    for (const [neighbour, count] of counts) {
      this.effectOf(victimClass, neighbour, nowMs).correct(error, count, totalVariance);
    }
  }

  private effectOf(victimClass: string, neighbour: string, nowMs: number): PairEffect {
    const known = this.effects.get(victimClass) ?? new Map<string, PairEffect>();
    this.effects.set(victimClass, known);
    const effect = known.get(neighbour) ?? new PairEffect(this.settings, nowMs);
    known.set(neighbour, effect);
    return effect;
  }
}
