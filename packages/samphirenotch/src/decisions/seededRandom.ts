/**
 * Random numbers from a seed, so that a decision can be repeated.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const FRACTION_STEPS = 2 ** 30;

/** A seeded source of random numbers. */
export class SeededRandom {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  /**
   * @param seed - equal seeds give equal numbers
   */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /**
   * Draws a whole number.
   *
   * @param bound - how many values there are, at least 1
   * @returns a number from 0 to one below the bound
   */
  below(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }

  /**
   * Draws a fraction.
   *
   * @returns a number from 0 to below 1
   */
  fraction(): number {
    return this.below(FRACTION_STEPS) / FRACTION_STEPS;
  }

  /**
   * Draws from an exponential distribution.
   *
   * @param mean - its mean
   * @returns a number from 0
   */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.fraction());
  }
}
