/**
 * Figures over many values.
 *
 * @packageDocumentation
 */

/**
 * Averages.
 *
 * @param values - the values
 * @returns their mean, 0 if there are none
 */
export const mean = (values: readonly number[]): number =>
  values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;

/**
 * Finds a quantile.
 *
 * @param values - the values
 * @param share - which one, between 0 and 1
 * @returns the quantile, 0 if there are no values
 */
export const quantile = (values: readonly number[], share: number): number => {
  const sorted = Float64Array.from(values).sort();
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
};

/**
 * Fits a line by least squares.
 *
 * @param points - pairs of size and cost
 * @returns intercept and slope
 */
export const fitLine = (
  points: readonly (readonly [number, number])[],
): { readonly intercept: number; readonly slope: number } => {
  const meanSize = mean(points.map(([size]) => size));
  const meanCost = mean(points.map(([, cost]) => cost));
  const covariance = mean(points.map(([size, cost]) => (size - meanSize) * (cost - meanCost)));
  const variance = mean(points.map(([size]) => (size - meanSize) ** 2));
  const slope = variance === 0 ? 0 : covariance / variance;
  return { intercept: meanCost - slope * meanSize, slope };
};
