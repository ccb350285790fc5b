/**
 * Learns interference online for each ordered pair of classes, with a Kalman filter. A pair without
 * measurements counts as no interference, and old measurements count less.
 */
import { PairEffect } from './pairEffect.js';

import type { InterferenceModel, SlowdownObservation } from './interferenceModel.js';
import type { PairEffectSettings } from './pairEffect.js';

/** Settings of the model, which adds up logarithms of slowdowns over neighbours. */
export interface LearnedInterferenceSettings extends PairEffectSettings {
  /** Standard deviation of the logarithm of a measured slowdown around its expected value. */
  readonly measurementDeviation: number;
  /** Effects (logarithms of slowdowns) below this value are treated as none. */
  readonly minimumEffect: number;
}

/** Default settings, which an entry uses. */
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

/** Learned effects of neighbours on each class, each with its variance. */
export class LearnedInterference implements InterferenceModel {
  private readonly settings: LearnedInterferenceSettings;

  /** Effects by victim class and neighbour class. */
  private readonly effects = new Map<string, Map<string, PairEffect>>();

  /** Logarithm of the largest slowdown that was measured, by victim class. */
  private readonly largestObserved = new Map<string, number>();

  /**
   * @param settings - noise, prior and decay
   */
  constructor(settings: LearnedInterferenceSettings = LEARNED_INTERFERENCE_DEFAULTS) {
    this.settings = settings;
  }

  /**
   * Predicts a slowdown, at most the largest that was measured for the class.
   *
   * @param victimClass - class that is slowed
   * @param neighbours - classes on the same worker
   * @param nowMs - current time, in milliseconds
   * @returns the slowdown; 1 is none
   */
  predict(victimClass: string, neighbours: readonly string[], nowMs: number): number {
    const known = this.effects.get(victimClass);
    if (!known) return 1;
    let sum = 0;
    for (const neighbour of neighbours) {
      const significantEffect = known.get(neighbour)?.significantMean(nowMs) ?? 0;
      if (significantEffect >= this.settings.minimumEffect) sum += significantEffect;
    }
    return Math.exp(Math.min(sum, this.largestObserved.get(victimClass) ?? 0));
  }

  /**
   * Updates the model with a measurement.
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

  /**
   * Divides the prediction error among the neighbours in proportion to the variance of each effect.
   */
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
