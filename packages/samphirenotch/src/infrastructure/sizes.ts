/**
 * Arithmetic on sizes.
 */
import type { Size } from './worker.js';

/** The size with all amounts zero. */
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
 * @param right - another size
 * @returns the sum of each amount
 */
export const plusSize = (left: Size, right: Size): Size => combine(left, right, (a, b) => a + b);

/**
 * Subtracts a size from another.
 *
 * @param left - the size to subtract from
 * @param right - the size to subtract
 * @returns the difference of each amount, negative where `right` is larger
 */
export const minusSize = (left: Size, right: Size): Size => combine(left, right, (a, b) => a - b);

/**
 * Adds any number of sizes.
 *
 * @param sizes - the sizes
 * @returns the sum of each amount, zero if there are no sizes
 */
export const sumSizes = (sizes: Iterable<Size>): Size => [...sizes].reduce(plusSize, NO_SIZE);

/**
 * Returns the rest of a size after a part of it is in use.
 *
 * @param whole - the whole size
 * @param part - the part in use
 * @returns the rest of each amount, at least zero
 */
export const remainingSize = (whole: Size, part: Size): Size =>
  combine(whole, part, (a, b) => Math.max(0, a - b));

/**
 * Returns the larger of the two amounts of each resource.
 *
 * @param left - a size
 * @param right - another size
 * @returns the larger amounts
 */
export const largerOf = (left: Size, right: Size): Size => combine(left, right, Math.max);

/**
 * Returns the smaller of the two amounts of each resource.
 *
 * @param left - a size
 * @param right - another size
 * @returns the smaller amounts
 */
export const smallerOf = (left: Size, right: Size): Size => combine(left, right, Math.min);

/**
 * Tells whether a size fits into the available one.
 *
 * @param size - the required size
 * @param available - the available size
 * @returns true if enough of each resource is available
 */
export const fitsIn = (size: Size, available: Size): boolean =>
  size.milliCores <= available.milliCores &&
  size.memoryMb <= available.memoryMb &&
  size.accelerators <= available.accelerators;

const countAmount = (amount: number, available: number): number => {
  if (amount > 0) return Math.max(0, Math.floor(available / amount));
  return available >= 0 ? Number.POSITIVE_INFINITY : 0;
};

/**
 * Counts how many times a size fits into the available one.
 *
 * @param size - the required size
 * @param available - the available size
 * @returns the largest multiple of the size that fits; infinite if nothing is required
 */
export const countFitting = (size: Size, available: Size): number =>
  Math.min(
    countAmount(size.milliCores, available.milliCores),
    countAmount(size.memoryMb, available.memoryMb),
    countAmount(size.accelerators, available.accelerators),
  );

/**
 * Tells whether two sizes are equal.
 *
 * @param left - a size
 * @param right - another size; undefined equals no size
 * @returns true if all amounts are equal
 */
export const isSameSize = (left: Size, right: Size | undefined): boolean =>
  right !== undefined && fitsIn(left, right) && fitsIn(right, left);
