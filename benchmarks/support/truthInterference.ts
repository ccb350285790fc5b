/**
 * A model that knows the true effects: the upper bound of what can be learned.
 *
 * @packageDocumentation
 */

import type { InterferenceModel } from 'samphirenotch/decisions/interferenceModel.js';

/** Knows the slowdown that each neighbour causes. */
export class TruthInterference implements InterferenceModel {
  private readonly disturbance: (neighbour: string, nowMs: number) => number;

  /**
   * @param disturbance - the true slowdown by a neighbour
   */
  constructor(disturbance: (neighbour: string, nowMs: number) => number) {
    this.disturbance = disturbance;
  }

  /**
   * Tells the truth.
   *
   * @param victimClass - class that is slowed, of no influence
   * @param neighbours - classes beside it
   * @param nowMs - time, in milliseconds
   * @returns the slowdown
   */
  predict(victimClass: string, neighbours: readonly string[], nowMs: number): number {
    return neighbours.reduce((product, each) => product * this.disturbance(each, nowMs), 1);
  }

  /** Has nothing to learn. */
  observe(): void {}
}
