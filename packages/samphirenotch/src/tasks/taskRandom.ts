/**
 * Randomness of task handling, repeatable by its seed.
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
   * @param processName - name of the process, so that equal seeds elsewhere give other values
   * @param seed - the seed
   */
  constructor(
    private readonly processName: string,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  /**
   * Makes a value that no other call returns.
   *
   * @returns letters and digits
   */
  uniqueId(): string {
    this.idCount += 1;
    const digits = [this.integer(), this.integer(), this.integer(), this.integer()];
    return digestOf(this.processName, String(this.idCount), ...digits.map(String));
  }

  /**
   * Draws a number.
   *
   * @returns at least 0, below 1
   */
  fraction(): number {
    return this.integer() / (MAXIMUM_INTEGER + 1);
  }

  private integer(): number {
    return uniformInt(this.generator, 0, MAXIMUM_INTEGER);
  }
}
