/**
 * Arithmetic on sizes.
 */
import type { Size } from './worker.js';

/** Nothing at all. */
export const NO_SIZE: Size = { milliCores: 0, memoryMb: 0, accelerators: 0 };

const combine = (left: Size, right: Size, each: (a: number, b: number) => number): Size => ({
  milliCores: each(left.milliCores, right.milliCores),
  memoryMb: each(left.memoryMb, right.memoryMb),
  accelerators: each(left.accelerators, right.accelerators),
});

/**
 * Adds two sizes.
 *
 * @param left - a size
 * @param right - another
 * @returns their sum
 */
export const plusSize = (left: Size, right: Size): Size => combine(left, right, (a, b) => a + b);

/**
 * Takes one size from another.
 *
 * @param left - a size
 * @param right - what is taken
 * @returns the difference, below zero where more is taken than is there
 */
export const minusSize = (left: Size, right: Size): Size => combine(left, right, (a, b) => a - b);

/**
 * Multiplies a size.
 *
 * @param size - the size
 * @param factor - how often
 * @returns the size of so many
 */
export const timesSize = (size: Size, factor: number): Size =>
  combine(size, size, (each) => each * factor);

/**
 * Adds sizes up.
 *
 * @param sizes - the sizes
 * @returns their sum
 */
export const sumSizes = (sizes: Iterable<Size>): Size => [...sizes].reduce(plusSize, NO_SIZE);

/**
 * Finds what is left of a size.
 *
 * @param whole - what there is
 * @param part - what is taken
 * @returns what is left, nowhere below zero
 */
export const remainingSize = (whole: Size, part: Size): Size =>
  combine(whole, part, (a, b) => Math.max(0, a - b));

/**
 * Takes the larger amount of each kind.
 *
 * @param left - a size
 * @param right - another
 * @returns the larger amounts
 */
export const largerOf = (left: Size, right: Size): Size => combine(left, right, Math.max);

/**
 * Takes the smaller amount of each kind.
 *
 * @param left - a size
 * @param right - another
 * @returns the smaller amounts
 */
export const smallerOf = (left: Size, right: Size): Size => combine(left, right, Math.min);

/**
 * Tells whether something fits.
 *
 * @param size - what is to fit
 * @param available - where
 * @returns true if there is enough of each kind
 */
export const fitsIn = (size: Size, available: Size): boolean =>
  size.milliCores <= available.milliCores &&
  size.memoryMb <= available.memoryMb &&
  size.accelerators <= available.accelerators;

/**
 * Tells whether two sizes are the same.
 *
 * @param left - a size
 * @param right - another, or nothing
 * @returns true if all amounts are equal
 */
export const isSameSize = (left: Size, right: Size | undefined): boolean =>
  right !== undefined && fitsIn(left, right) && fitsIn(right, left);
