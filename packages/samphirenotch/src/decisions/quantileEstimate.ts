/**
 * Estimates a quantile of a stream of positive values in constant memory, also while the
 * distribution drifts, by stochastic approximation of its logarithm.
 */

/** Step of the logarithm, which falls with the square root of the number of observations. */
const INITIAL_STEP = 0.5;
/** Step below which it does not fall, so that the estimate follows a drift. */
const MINIMUM_STEP = 0.02;

/** Running estimate of one quantile. */
export class QuantileEstimate {
  private readonly quantile: number;

  private logValue = 0;

  private observations = 0;

  /**
   * @param quantile - quantile to estimate, between 0 and 1
   */
  constructor(quantile: number) {
    this.quantile = quantile;
  }

  /**
   * Adds an observation.
   *
   * @param value - observed value, above 0
   */
  observe(value: number): void {
    const logObserved = Math.log(Math.max(value, Number.MIN_VALUE));
    this.observations += 1;
    if (this.observations === 1) {
      this.logValue = logObserved;
      return;
    }
    const step = Math.max(MINIMUM_STEP, INITIAL_STEP / Math.sqrt(this.observations));
    const direction = logObserved > this.logValue ? this.quantile : this.quantile - 1;
    this.logValue += step * direction;
  }

  /**
   * Returns the estimate.
   *
   * @returns the quantile, or `undefined` before the first observation
   */
  value(): number | undefined {
    return this.observations === 0 ? undefined : Math.exp(this.logValue);
  }

  /**
   * Counts the observations.
   *
   * @returns number of observations
   */
  count(): number {
    return this.observations;
  }
}
