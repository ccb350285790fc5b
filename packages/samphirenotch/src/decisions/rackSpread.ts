/**
 * Measures how far a class of tasks crowds on one rack.
 */
import type { PlacementCandidate } from './placementPolicy.js';

/** Shares of a class and of the workers by rack. */
export class RackSpread {
  private readonly classPerRack: ReadonlyMap<string, number>;

  private readonly workersPerRack = new Map<string, number>();

  private readonly ofClass: number;

  private readonly workers: number;

  /**
   * @param classPerRack - tasks of the class by rack
   * @param candidates - workers that have room
   */
  constructor(
    classPerRack: ReadonlyMap<string, number>,
    candidates: readonly PlacementCandidate[],
  ) {
    this.classPerRack = classPerRack;
    this.ofClass = [...classPerRack.values()].reduce((sum, count) => sum + count, 0);
    this.workers = candidates.length;
    for (const { rack } of candidates) {
      this.workersPerRack.set(rack, (this.workersPerRack.get(rack) ?? 0) + 1);
    }
  }

  /**
   * Measures one rack.
   *
   * @param rack - the rack
   * @returns the share of the class there beyond the rack's share of the workers
   */
  crowding(rack: string): number {
    if (this.ofClass === 0) return 0;
    const ofClassHere = (this.classPerRack.get(rack) ?? 0) / this.ofClass;
    const workersHere = (this.workersPerRack.get(rack) ?? 0) / this.workers;
    return Math.max(0, ofClassHere - workersHere);
  }
}
