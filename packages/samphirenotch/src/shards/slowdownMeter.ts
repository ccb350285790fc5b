/**
 * Measures how much slower requests are beside tasks than alone, for the model of interference.
 */
import type { InterferenceModel } from '../decisions/interferenceModel.js';

/** Weight of a new measurement in the mean of requests that ran alone. */
const NEW_SHARE = 0.05;

/** Turns latencies into slowdowns. */
export class SlowdownMeter {
  private readonly aloneMs = new Map<string, number>();

  /**
   * @param interference - learns from the slowdowns
   */
  constructor(private readonly interference: InterferenceModel) {}

  /**
   * Takes a measurement in.
   *
   * @param victimClass - class of the request
   * @param neighbours - classes of the tasks that ran beside it
   * @param latencyMs - its latency at the worker
   * @param nowMs - monotonic time
   */
  observe(
    victimClass: string,
    neighbours: readonly string[],
    latencyMs: number,
    nowMs: number,
  ): void {
    const aloneMs = this.aloneMs.get(victimClass);
    if (neighbours.length === 0) {
      const mean = aloneMs === undefined ? latencyMs : aloneMs + NEW_SHARE * (latencyMs - aloneMs);
      this.aloneMs.set(victimClass, mean);
      return;
    }
    if (!aloneMs) return;
    this.interference.observe({ victimClass, neighbours, slowdown: latencyMs / aloneMs, nowMs });
  }
}
