/**
 * Histograms of durations, recorded in microseconds.
 */
import { build, type Histogram } from 'hdr-histogram-js';

const US_PER_MS = 1_000;
const LONGEST_US = 60_000_000;
const SIGNIFICANT_DIGITS = 2;
const COUNT_BITS = 32;

/**
 * Makes an empty histogram from 1 us to 60 s.
 *
 * @returns the histogram
 */
export const newHistogram = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LONGEST_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: COUNT_BITS,
    autoResize: false,
  });

/**
 * Records a duration. Longer ones count as 60 s.
 *
 * @param histogram - where it is recorded
 * @param durationMs - milliseconds
 */
export const recordMs = (histogram: Histogram, durationMs: number): void => {
  const us = Math.round(durationMs * US_PER_MS);
  if (Number.isNaN(us)) return;
  histogram.recordValue(Math.min(LONGEST_US, Math.max(1, us)));
};

/**
 * Reads a percentile.
 *
 * @param histogram - the histogram
 * @param percentile - from 0 to 100
 * @returns milliseconds
 */
export const percentileMs = (histogram: Histogram, percentile: number): number =>
  histogram.getValueAtPercentile(percentile) / US_PER_MS;
