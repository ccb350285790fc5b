/**
 * A cost against a size, and how it grows.
 *
 * @packageDocumentation
 */

import { availableParallelism, loadavg } from 'node:os';

import { fitLine } from '../support/statistics.js';

/** A size and the cost measured at it. */
export type Point = readonly [number, number];

/** How a cost grows. */
export interface Slope {
  readonly name: string;
  readonly unit: string;
  /** What the size counts. */
  readonly sizeAxis: string;
  readonly points: readonly Point[];
  /** Cost for each further unit of size, by least squares. */
  readonly slope: number;
  /** Cost at size 0, by least squares. */
  readonly intercept: number;
  /** Command that measured it. */
  readonly how: string;
  /** How busy the machine was. */
  readonly machine: string;
}

/** Names of a cost and of its size. */
export interface CostAxis {
  readonly name: string;
  readonly unit: string;
  readonly sizeAxis: string;
}

const BUSY_SHARE = 0.5;
const SIGNIFICANT_DIGITS = 6;

const rounded = (value: number): number => Number(value.toPrecision(SIGNIFICANT_DIGITS));

const machineNote = (): string => {
  const cores = availableParallelism();
  const [minute = 0] = loadavg();
  const state = minute / cores > BUSY_SHARE ? 'cores busy' : 'cores idle';
  return `${state}: load average ${minute.toFixed(1)} on ${cores} cores`;
};

/**
 * Fits a line to what was measured.
 *
 * @param axis - names
 * @param points - at least two sizes
 * @param suite - the suite that measured it
 * @returns the slope, with how it was measured
 */
export const slopeOf = (axis: CostAxis, points: readonly Point[], suite: string): Slope => {
  const { slope, intercept } = fitLine(points);
  return {
    ...axis,
    points: points.map(([size, value]) => [size, rounded(value)]),
    slope: rounded(slope),
    intercept: rounded(intercept),
    how: `npm run bench:costs -- --only=${suite}`,
    machine: machineNote(),
  };
};
