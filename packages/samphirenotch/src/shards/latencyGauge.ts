/**
 * Measures the latency of requests at one worker, relative to the target latency of their classes.
 */

/** Weight of a new measurement in the moving mean, from 0 to 1. */
const NEW_MEASUREMENT_WEIGHT = 0.1;

/** The mean is discarded when its last measurement is older than this, in milliseconds. */
const MAXIMUM_MEASUREMENT_AGE_MS = 10_000;

/** Exponentially weighted mean of the ratio of request latency to target latency. */
export class LatencyGauge {
  private mean = 0;

  private observedAtMs = -Infinity;

  /**
   * Adds a measurement.
   *
   * @param latencyMs - latency of an answered request, in milliseconds
   * @param targetMs - target latency of its class, in milliseconds; 0 if it has none, which is
   * ignored
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
   * Returns the current mean.
   *
   * @param nowMs - monotonic time
   * @returns latency divided by the target; above 1 is too slow, 0 without recent measurements
   */
  ratio(nowMs: number): number {
    return nowMs - this.observedAtMs > MAXIMUM_MEASUREMENT_AGE_MS ? 0 : this.mean;
  }
}
