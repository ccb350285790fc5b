/**
 * Chooses the home of a job among the shares of a site.
 *
 * Answers the pattern of many entries that accept jobs at the same moment on the same news: two
 * shares are drawn and the one with more room is taken, so that not all take the same one.
 */
import type { SeededRandom } from '../../decisions/seededRandom.js';

import type { JobSpec } from '../model/jobSpec.js';
import type { ShareCapacity } from '../model/shareCapacity.js';
import { SERVING_UTILISATION } from './taskPlacement.js';

/** A share as a home may be chosen. */
export interface HomeCandidate {
  readonly share: string;
  /** Somebody owns it. */
  readonly isOwned: boolean;
  /** Its workers are in the data centre of the entry that chooses. */
  readonly isLocal: boolean;
  /** Its data centres take no new work. */
  readonly isEvacuated: boolean;
  readonly room: ShareCapacity;
  /** What its open jobs ask for, in thousandths of a core. */
  readonly load: number;
}

/** Chooses homes. */
export interface HomeChoice {
  /**
   * @param job - the job
   * @param candidates - all shares of the site, at least one
   * @returns id of the share
   */
  choose(job: JobSpec, candidates: readonly HomeCandidate[]): string;
}

/**
 * Tells what a job asks for at once.
 *
 * @param job - the job
 * @returns thousandths of a core, of its widest step
 */
export const peakDemand = ({ steps }: JobSpec): number =>
  steps.reduce((most, { count, size, targetMs }) => {
    const use = targetMs > 0 ? SERVING_UTILISATION : 1;
    return Math.max(most, use * count * size.milliCores);
  }, 0);

/** What open jobs leave, as a share of all room; below zero where they ask for more. */
const freeFraction = ({ room, load }: HomeCandidate): number =>
  1 - load / Math.max(1, room.capacity);

/** Keeps those that are wanted, or all if there are none. */
const prefer = (
  candidates: readonly HomeCandidate[],
  isWanted: (candidate: HomeCandidate) => boolean,
): readonly HomeCandidate[] => {
  const wanted = candidates.filter(isWanted);
  return wanted.length > 0 ? wanted : candidates;
};

/** Two draws by size, of which the one with more room is taken. */
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
