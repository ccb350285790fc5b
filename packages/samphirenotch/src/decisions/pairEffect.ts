/**
 * Estimated effect of one neighbour class on one victim class, with its variance.
 */

/** Prior, drift and decay of effects between measurements. */
export interface PairEffectSettings {
  /** Standard deviation of the prior, whose mean is 0. */
  readonly priorDeviation: number;
  /** Growth of the variance per second, since effects drift over time. */
  readonly driftVariancePerSecond: number;
  /** Time after which an effect without new measurements is halved, in milliseconds. */
  readonly decayHalfLifeMs: number;
  /** Number of standard deviations above 0 from which an effect counts as significant. */
  readonly significantDeviations: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Logarithm of the slowdown that one neighbour causes, as the state of a Kalman filter. */
export class PairEffect {
  private readonly settings: PairEffectSettings;

  private currentMean = 0;

  private currentVariance: number;

  private updatedAtMs: number;

  /**
   * @param settings - prior, drift and decay
   * @param nowMs - current time, in milliseconds
   */
  constructor(settings: PairEffectSettings, nowMs: number) {
    this.settings = settings;
    this.currentVariance = settings.priorDeviation ** 2;
    this.updatedAtMs = nowMs;
  }

  /**
   * Returns the estimated effect.
   *
   * @returns mean of the logarithm of the slowdown
   */
  mean(): number {
    return this.currentMean;
  }

  /**
   * Returns the uncertainty of the effect.
   *
   * @returns variance of the logarithm of the slowdown
   */
  variance(): number {
    return this.currentVariance;
  }

  /**
   * Advances the estimate to the time of a measurement: decays the mean and adds variance.
   *
   * @param nowMs - current time, in milliseconds
   */
  decayTo(nowMs: number): void {
    const { priorDeviation, driftVariancePerSecond, decayHalfLifeMs } = this.settings;
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    const addedVariance = (driftVariancePerSecond * elapsedMs) / MILLISECONDS_PER_SECOND;
    this.currentMean *= 0.5 ** (elapsedMs / decayHalfLifeMs);
    this.currentVariance = Math.min(priorDeviation ** 2, this.currentVariance + addedVariance);
    this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
  }

  /**
   * Applies the part of a prediction error that is attributed to this effect.
   *
   * @param error - measured minus predicted logarithm of the slowdown
   * @param count - number of neighbours of this class
   * @param totalVariance - sum of the variances of the prediction and of the measurement
   */
  correct(error: number, count: number, totalVariance: number): void {
    const gain = (count * this.currentVariance) / totalVariance;
    this.currentMean += gain * error;
    this.currentVariance *= 1 - gain * count;
  }

  /**
   * Returns the effect, reduced by its uncertainty and age.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the mean, closer to 0 the more uncertain and the older it is; 0 if it is not
   * significant, as noise may explain it
   */
  significantMean(nowMs: number): number {
    const { priorDeviation, decayHalfLifeMs, significantDeviations } = this.settings;
    if (this.currentMean < significantDeviations * Math.sqrt(this.currentVariance)) return 0;
    const retained = 0.5 ** (Math.max(0, nowMs - this.updatedAtMs) / decayHalfLifeMs);
    const confidence = Math.max(0, 1 - this.currentVariance / priorDeviation ** 2);
    return this.currentMean * retained * confidence;
  }
}
