/**
 * Figures of the capacity page, each with where it comes from.
 *
 * @packageDocumentation
 */

import type { Slope as SiteSlope } from '../costs/slope.js';
import type { Slope } from '../slopes/measure.js';

/** Where a figure comes from. */
export type Basis = 'letter' | 'setting' | 'measured' | 'derived' | 'assumed';

/** A figure. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly basis: Basis;
  /** How it was worked out, or which measurement it is. */
  readonly from: string;
}

/** What the benchmarks wrote. */
export interface MeasuredSlopes {
  readonly node: string;
  readonly processBytes: number;
  readonly slopes: readonly Slope[];
}

/**
 * Finds a slope.
 *
 * @param measured - what was measured
 * @param name - name of the slope
 * @returns the slope
 * @throws Error if there is none of that name
 */
export const slopeOf = (measured: MeasuredSlopes, name: string): Slope => {
  const slope = measured.slopes.find((each) => each.name === name);
  if (!slope) throw new Error(`No slope was measured for ${name}.`);
  return slope;
};

/**
 * Reads the cost at a size between the two measured points around it, or off the last two beyond them.
 *
 * @param slope - the slope
 * @param size - the size
 * @returns the cost
 */
export const costAt = (slope: Pick<Slope, 'points'>, size: number): number => {
  const { points } = slope;
  const above = points.findIndex(([measuredSize]) => measuredSize >= size);
  const upper = above < 0 ? points.length - 1 : Math.max(1, above);
  const [lowSize, lowCost] = points[upper - 1] ?? [0, 0];
  const [highSize, highCost] = points[upper] ?? [1, 0];
  const share = (size - lowSize) / (highSize - lowSize);
  return lowCost + share * (highCost - lowCost);
};

/**
 * Reads the largest cost of one item over all sizes.
 *
 * @param slope - the slope
 * @returns cost of one item
 */
export const largestPerItem = (slope: Slope): number =>
  Math.max(...slope.points.map(([size, cost]) => cost / size));

/** A part of the page. */
export interface CapacitySection {
  readonly title: string;
  readonly mechanism: string;
  readonly figures: readonly Figure[];
}

/**
 * Makes a figure.
 *
 * @param name - what it is
 * @param value - its value
 * @param unit - its unit
 * @param basis - where it comes from
 * @param from - how it was worked out
 * @returns the figure
 */
export const figure = (
  name: string,
  value: number,
  unit: string,
  basis: Basis,
  from: string,
): Figure => ({
  name,
  value,
  unit,
  basis,
  from,
});

/**
 * Finds a cost of whole entries.
 *
 * @param costs - what was measured
 * @param name - name of the cost
 * @returns the cost
 * @throws Error if there is none of that name
 */
export const siteSlope = (costs: readonly SiteSlope[], name: string): SiteSlope => {
  const slope = costs.find((each) => each.name === name);
  if (!slope) throw new Error(`No cost was measured for ${name}.`);
  return slope;
};
