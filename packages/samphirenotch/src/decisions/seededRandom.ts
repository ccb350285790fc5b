/**
 * Pseudo-random numbers from a seed, so that decisions are reproducible.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const FRACTION_STEPS = 2 ** 30;

/** Seeded pseudo-random number generator. */
export class SeededRandom {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  /**
   * @param seed - equal seeds give equal numbers
   */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /**
   * Draws an integer from a uniform distribution.
   *
   * @param bound - exclusive upper bound, at least 1
   * @returns an integer from 0 to `bound - 1`
   */
  below(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }

  /**
   * Draws a number from a uniform distribution.
   *
   * @returns a number of at least 0 and below 1
   */
  fraction(): number {
    return this.below(FRACTION_STEPS) / FRACTION_STEPS;
  }

  /**
   * Draws from an exponential distribution.
   *
   * @param mean - mean of the distribution
   * @returns a number of at least 0
   */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.fraction());
  }
}
