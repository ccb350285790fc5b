/**
 * Sums up durations in three figures.
 */

/** Durations in milliseconds. */
export interface Spread {
  readonly count: number;
  readonly medianMs: number | undefined;
  readonly p95Ms: number | undefined;
  readonly mostMs: number | undefined;
}

const HIGH = 0.95;

const at = (sorted: Float64Array, part: number): number | undefined => {
  const value = sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))];
  return value === undefined ? undefined : Math.round(value);
};

/**
 * Sums durations up.
 *
 * @param durationsMs - the durations in milliseconds
 * @returns their number, median, 95th percentile and the longest
 */
export const spreadOf = (durationsMs: readonly number[]): Spread => {
  const sorted = Float64Array.from(durationsMs).sort();
  return {
    count: sorted.length,
    medianMs: at(sorted, 1 / 2),
    p95Ms: at(sorted, HIGH),
    mostMs: at(sorted, 1),
  };
};
