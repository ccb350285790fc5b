/**
 * The effect of one neighbour on one class, with how sure it is.
 */

/** How effects change while they are not measured. */
export interface PairEffectSettings {
  /** Standard deviation before anything is known. */
  readonly priorDeviation: number;
  /** Growth of the variance per second, for effects that shift. */
  readonly driftVariancePerSecond: number;
  /** Time after which an effect that is not seen any more counts half, in milliseconds. */
  readonly decayHalfLifeMs: number;
  /** Standard deviations above 0 from which an effect is believed. */
  readonly significantDeviations: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Logarithm of the slowdown that one neighbour causes. */
export class PairEffect {
  private readonly settings: PairEffectSettings;

  private currentMean = 0;

  private currentVariance: number;

  private updatedAtMs: number;

  /**
   * @param settings - prior and decay
   * @param nowMs - current time, in milliseconds
   */
  constructor(settings: PairEffectSettings, nowMs: number) {
    this.settings = settings;
    this.currentVariance = settings.priorDeviation ** 2;
    this.updatedAtMs = nowMs;
  }

  /**
   * Reads the effect.
   *
   * @returns its mean
   */
  mean(): number {
    return this.currentMean;
  }

  /**
   * Reads how unsure the effect is.
   *
   * @returns its variance
   */
  variance(): number {
    return this.currentVariance;
  }

  /**
   * Lets time pass before a measurement.
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
   * Takes its part of an error of the prediction.
   *
   * @param error - how far the measurement was above the prediction
   * @param count - neighbours of this class that ran there
   * @param totalVariance - variance of the prediction and of the measurement together
   */
  correct(error: number, count: number, totalVariance: number): void {
    const gain = (count * this.currentVariance) / totalVariance;
    this.currentMean += gain * error;
    this.currentVariance *= 1 - gain * count;
  }

  /**
   * Reads the effect as far as it is known.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the mean, nearer to 0 the less sure and the older it is; 0 if noise may explain it
   */
  significantMean(nowMs: number): number {
    const { priorDeviation, decayHalfLifeMs, significantDeviations } = this.settings;
    if (this.currentMean < significantDeviations * Math.sqrt(this.currentVariance)) return 0;
    const retained = 0.5 ** (Math.max(0, nowMs - this.updatedAtMs) / decayHalfLifeMs);
    const confidence = Math.max(0, 1 - this.currentVariance / priorDeviation ** 2);
    return this.currentMean * retained * confidence;
  }
}
