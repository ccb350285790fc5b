/**
 * Chooses the home of a job among the shares of a site.
 *
 * Many entries accept jobs at the same moment with the same data about shares. Each draws two
 * shares at random and takes the one with more free capacity, so that they do not all choose the
 * same share.
 */
import type { SeededRandom } from '../../decisions/seededRandom.js';

import type { JobSpec } from '../model/jobSpec.js';
import type { ShareCapacity } from '../model/shareCapacity.js';
import { SERVING_UTILISATION } from './taskPlacement.js';

/** A share that can become the home of a job. */
export interface HomeCandidate {
  readonly share: string;
  /** True if an owner holds the lease of the share. */
  readonly isOwned: boolean;
  /** True if its workers are in the data centre of the entry that chooses. */
  readonly isLocal: boolean;
  /** True if its data centres accept no new tasks. */
  readonly isEvacuated: boolean;
  readonly room: ShareCapacity;
  /** Processors that its open jobs ask for, in thousandths of a core. */
  readonly load: number;
}

/** Chooses homes for jobs. */
export interface HomeChoice {
  /**
   * Chooses the home of a job.
   *
   * @param job - the job
   * @param candidates - all shares of the site, at least one
   * @returns id of the share
   */
  choose(job: JobSpec, candidates: readonly HomeCandidate[]): string;
}

/**
 * Estimates the processors that a job uses at once: those of its widest step.
 *
 * @param job - the job
 * @returns thousandths of a core
 */
export const peakDemand = ({ steps }: JobSpec): number =>
  steps.reduce((most, { count, size, targetMs }) => {
    const use = targetMs > 0 ? SERVING_UTILISATION : 1;
    return Math.max(most, use * count * size.milliCores);
  }, 0);

/** Fraction of a share's capacity that open jobs leave free; negative if they ask for more. */
const freeFraction = ({ room, load }: HomeCandidate): number =>
  1 - load / Math.max(1, room.capacity);

/** Returns the candidates that match, or all if none matches. */
const prefer = (
  candidates: readonly HomeCandidate[],
  isWanted: (candidate: HomeCandidate) => boolean,
): readonly HomeCandidate[] => {
  const wanted = candidates.filter(isWanted);
  return wanted.length > 0 ? wanted : candidates;
};

/** Draws two shares, weighted by capacity, and takes the one with the larger free fraction. */
export class PowerOfTwoChoices implements HomeChoice {
  /**
   * @param random - source of random numbers
   */
  constructor(private readonly random: SeededRandom) {}

  choose({ steps }: JobSpec, candidates: readonly HomeCandidate[]): string {
    const hasLabels =
      (labels: readonly string[]) =>
      ({ room }: HomeCandidate): boolean =>
        labels.every((label) => label === '' || room.labels.has(label));
    const required = steps.map(({ requiredLabel }) => requiredLabel);
    const racks = steps.map(({ dataRack }) => dataRack);
    const open = prefer(candidates, ({ isEvacuated }) => !isEvacuated);
    const owned = prefer(open, ({ isOwned }) => isOwned);
    const usable = prefer(owned, ({ room }) => room.capacity > 0);
    const capable = prefer(usable, hasLabels(required));
    const nearData = prefer(capable, hasLabels(racks));
    if (nearData.every(({ room }) => room.capacity === 0)) {
      return this.drawByCapacity(prefer(nearData, ({ isLocal }) => isLocal)).share;
    }
    const [one, other] = [this.drawByCapacity(nearData), this.drawByCapacity(nearData)];
    return freeFraction(other) > freeFraction(one) ? other.share : one.share;
  }

  private drawByCapacity(candidates: readonly HomeCandidate[]): HomeCandidate {
    const [first] = candidates;
    if (!first) throw new Error('a site has at least one share');
    const weights = candidates.map(({ room }) => Math.max(1, room.capacity));
    let left = this.random.fraction() * weights.reduce((sum, weight) => sum + weight, 0);
    const found = candidates.find((_candidate, index) => {
      left -= weights[index] ?? 0;
      return left < 0;
    });
    return found ?? first;
  }
}
