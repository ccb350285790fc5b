/**
 * A mean in which observations lose weight as time passes.
 */

/** A mean with exponential decay over time. */
export class DecayingMean {
  private readonly halfLifeMs: number;

  private weight = 0;

  private sum = 0;

  private updatedAtMs = 0;

  /**
   * @param halfLifeMs - time after which an observation counts half, in milliseconds
   */
  constructor(halfLifeMs: number) {
    this.halfLifeMs = halfLifeMs;
  }

  /**
   * Learns from an observation.
   *
   * @param value - the observed quantity
   * @param nowMs - time, in milliseconds
   */
  observe(value: number, nowMs: number): void {
    const retained = this.retainedShare(nowMs);
    this.weight = this.weight * retained + 1;
    this.sum = this.sum * retained + value;
    this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
  }

  /**
   * Reads the mean as if a prior had been observed beside the observations.
   *
   * @param prior - value in the absence of observations
   * @param priorWeight - how many observations the prior is worth
   * @param nowMs - time, in milliseconds
   * @returns the mean, nearer to the prior the older the observations are
   */
  shrunkTo(prior: number, priorWeight: number, nowMs: number): number {
    const retained = this.retainedShare(nowMs);
    return (this.sum * retained + prior * priorWeight) / (this.weight * retained + priorWeight);
  }

  private retainedShare(nowMs: number): number {
    return 0.5 ** (Math.max(0, nowMs - this.updatedAtMs) / this.halfLifeMs);
  }
}
