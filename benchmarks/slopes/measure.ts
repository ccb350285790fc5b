/**
 * Measures time and memory of one process.
 *
 * @packageDocumentation
 */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { fitLine, quantile } from '../support/statistics.js';

/** A cost at several sizes. */
export interface Slope {
  readonly name: string;
  /** What the size counts. */
  readonly sizeOf: string;
  readonly unit: string;
  readonly points: readonly (readonly [number, number])[];
  /** Cost that does not depend on the size. */
  readonly intercept: number;
  /** Cost of each further one. */
  readonly perItem: number;
}

const ROUNDS = 7;
const NANOSECONDS_PER_MICROSECOND = 1_000;
const SHARE_FOR_MEDIAN = 0.5;

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

/**
 * Measures how long something takes.
 *
 * @param run - what is measured
 * @param repeats - how often it runs in one round
 * @returns median of the rounds, in microseconds for one run
 */
export const microseconds = (run: () => void, repeats: number): number => {
  const rounds: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const start = process.hrtime.bigint();
    for (let repeat = 0; repeat < repeats; repeat += 1) run();
    const elapsed = Number(process.hrtime.bigint() - start) / NANOSECONDS_PER_MICROSECOND;
    rounds.push(elapsed / repeats);
  }
  return quantile(rounds, SHARE_FOR_MEDIAN);
};

/**
 * Measures the memory that something keeps, in the heap and in buffers outside of it.
 *
 * @param build - makes what is measured
 * @returns bytes
 */
export const keptBytes = (build: () => unknown): number => {
  collectGarbage();
  const before = process.memoryUsage();
  const kept = build();
  collectGarbage();
  const after = process.memoryUsage();
  const bytes = after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
  // The reference lives until after the measurement.
  return kept === undefined ? 0 : bytes;
};

/**
 * Measures a cost at several sizes.
 *
 * @param name - name of the slope
 * @param labels - what the size counts, and the unit of the cost
 * @param sizes - at least four sizes
 * @param cost - measures at one size
 * @returns the points and a line through them
 */
export const measureSlope = (
  name: string,
  labels: { readonly sizeOf: string; readonly unit: string },
  sizes: readonly number[],
  cost: (size: number) => number,
): Slope => {
  const points = sizes.map((size): readonly [number, number] => [size, cost(size)]);
  const { intercept, slope } = fitLine(points);
  return { name, ...labels, points, intercept, perItem: slope };
};
