/**
 * A mean in which the weight of an observation halves at regular intervals.
 */

/** Exponentially decaying mean over time. */
export class DecayingMean {
  private readonly halfLifeMs: number;

  private weight = 0;

  private sum = 0;

  private updatedAtMs = 0;

  /**
   * @param halfLifeMs - time after which the weight of an observation is halved, in milliseconds
   */
  constructor(halfLifeMs: number) {
    this.halfLifeMs = halfLifeMs;
  }

  /**
   * Adds an observation.
   *
   * @param value - observed value
   * @param nowMs - current time, in milliseconds
   */
  observe(value: number, nowMs: number): void {
    const retained = this.retainedShare(nowMs);
    this.weight = this.weight * retained + 1;
    this.sum = this.sum * retained + value;
    this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
  }

  /**
   * Returns the mean of the observations and a prior value (shrinkage).
   *
   * @param prior - value that is assumed without observations
   * @param priorWeight - weight of the prior, in observations
   * @param nowMs - current time, in milliseconds
   * @returns the mean; the older the observations, the closer it is to the prior
   */
  shrunkTo(prior: number, priorWeight: number, nowMs: number): number {
    const retained = this.retainedShare(nowMs);
    return (this.sum * retained + prior * priorWeight) / (this.weight * retained + priorWeight);
  }

  private retainedShare(nowMs: number): number {
    return 0.5 ** (Math.max(0, nowMs - this.updatedAtMs) / this.halfLifeMs);
  }
}
