/**
 * One series of durations: a histogram for percentiles, and counts in fixed buckets that can be summed
 * over entries and time.
 */
import type { Histogram } from 'hdr-histogram-js';
import { newHistogram, recordMs } from './latencyHistogram.js';

const MS_PER_SECOND = 1_000;

/** Upper bounds of the buckets, in seconds. */
export const BUCKET_BOUNDS_SECONDS: readonly number[] = [
  0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 60,
];

/** A series of durations. */
export class LatencySeries {
  readonly histogram: Histogram = newHistogram();

  private readonly counts = BUCKET_BOUNDS_SECONDS.map(() => 0);

  private sumOfSeconds = 0;

  /**
   * Records a duration.
   *
   * @param durationMs - milliseconds
   */
  record(durationMs: number): void {
    if (!Number.isFinite(durationMs)) return;
    recordMs(this.histogram, durationMs);
    const seconds = durationMs / MS_PER_SECOND;
    this.sumOfSeconds += seconds;
    const bucket = BUCKET_BOUNDS_SECONDS.findIndex((bound) => seconds <= bound);
    if (bucket >= 0) this.counts[bucket] = (this.counts[bucket] ?? 0) + 1;
  }

  /** @returns how many durations were recorded */
  count(): number {
    return this.histogram.totalCount;
  }

  /** @returns the sum of all durations, in seconds */
  sumSeconds(): number {
    return this.sumOfSeconds;
  }

  /** @returns for each bound, how many durations were not above it */
  cumulativeCounts(): readonly number[] {
    let sum = 0;
    return this.counts.map((count) => {
      sum += count;
      return sum;
    });
  }
}
