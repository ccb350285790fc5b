/**
 * Random values for task handling, reproducible from a seed.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { digestOf } from './jobId.js';

const MAXIMUM_INTEGER = 0x7fffffff;

/** A seeded source of random values. */
export class TaskRandom {
  private readonly generator: RandomGenerator;

  private idCount = 0;

  /**
   * @param processName - name of the process, so that processes with equal seeds make different ids
   * @param seed - the seed
   */
  constructor(
    private readonly processName: string,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  /**
   * Makes an id that no other call returns.
   *
   * @returns letters and digits
   */
  uniqueId(): string {
    this.idCount += 1;
    const digits = [this.integer(), this.integer(), this.integer(), this.integer()];
    return digestOf(this.processName, String(this.idCount), ...digits.map(String));
  }

  /**
   * Draws a random number.
   *
   * @returns a number from 0 (inclusive) to 1 (exclusive)
   */
  fraction(): number {
    return this.integer() / (MAXIMUM_INTEGER + 1);
  }

  private integer(): number {
    return uniformInt(this.generator, 0, MAXIMUM_INTEGER);
  }
}
