/**
 * How late requests at one worker are, relative to the deadlines of their classes.
 */

/** Weight of a new measurement in the mean. */
const NEW_MEASUREMENT_WEIGHT = 0.1;

/** Measurements older than this say nothing any more, in milliseconds. */
const MAXIMUM_MEASUREMENT_AGE_MS = 10_000;

/** A decaying mean of the latency of requests relative to their targets. */
export class LatencyGauge {
  private mean = 0;

  private observedAtMs = -Infinity;

  /**
   * Takes a measurement in.
   *
   * @param latencyMs - latency of an answered request
   * @param targetMs - latency that its class should have
   * @param nowMs - monotonic time
   */
  observe(latencyMs: number, targetMs: number, nowMs: number): void {
    if (targetMs <= 0) return;
    const ratio = latencyMs / targetMs;
    const isFirst = nowMs - this.observedAtMs > MAXIMUM_MEASUREMENT_AGE_MS;
    this.mean = isFirst ? ratio : this.mean + NEW_MEASUREMENT_WEIGHT * (ratio - this.mean);
    this.observedAtMs = nowMs;
  }

  /**
   * Reads the gauge.
   *
   * @param nowMs - monotonic time
   * @returns latency relative to the target; above 1 is too slow, 0 without measurements
   */
  ratio(nowMs: number): number {
    return nowMs - this.observedAtMs > MAXIMUM_MEASUREMENT_AGE_MS ? 0 : this.mean;
  }
}
