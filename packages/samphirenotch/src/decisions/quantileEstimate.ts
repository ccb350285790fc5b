/**
 * Follows a quantile of a positive quantity with a few numbers of memory, also while it shifts.
 */

const INITIAL_STEP = 0.5;
const MINIMUM_STEP = 0.02;

/** A running estimate of one quantile. */
export class QuantileEstimate {
  private readonly quantile: number;

  private logValue = 0;

  private observations = 0;

  /**
   * @param quantile - which one, between 0 and 1
   */
  constructor(quantile: number) {
    this.quantile = quantile;
  }

  /**
   * Learns from an observation.
   *
   * @param value - the observed quantity, above 0
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
   * Reads the estimate.
   *
   * @returns the quantile, or nothing before the first observation
   */
  value(): number | undefined {
    return this.observations === 0 ? undefined : Math.exp(this.logValue);
  }

  /**
   * Counts the observations.
   *
   * @returns their number
   */
  count(): number {
    return this.observations;
  }
}
