/**
 * Decides into how many shares a site is divided.
 *
 * Answers the pattern of sites that one entry cannot carry: many workers, or entries on weak VMs. What
 * one entry carries easily stays whole, since one owner sees all room at once.
 */
import { ShareLayout } from './shareLayout.js';

/** What the workers of a site ask of one core of the usual speed, each, as a share of it. */
const OWNER_CORES_PER_WORKER = 0.0015;

/** Share of its VM's processor that an owner is to need at most; bursts and takeovers need the rest. */
const MAXIMUM_OWNER_LOAD = 0.4;

/** Workers that a share has at least where a data centre is divided: fewer hold no wide step. */
const MINIMUM_WORKERS_PER_SHARE = 10;

/** What is known of a site when it is first started. */
export interface SiteSize {
  /** Workers by data centre. */
  readonly workers: ReadonlyMap<string, number>;
  /** What the VM of an entry has of a core of the usual speed. */
  readonly processorShare: number;
}

/**
 * Plans the shares of a site.
 *
 * @param size - workers and processors
 * @returns the layout: one share, or one or more for each data centre with workers
 */
export const planShares = ({ workers, processorShare }: SiteSize): ShareLayout => {
  const maximumWorkers = Math.max(
    1,
    Math.floor((MAXIMUM_OWNER_LOAD * processorShare) / OWNER_CORES_PER_WORKER),
  );
  const count = [...workers.values()].reduce((sum, each) => sum + each, 0);
  if (count <= maximumWorkers) return ShareLayout.undivided();
  const shareCountOf = (each: number): number =>
    Math.max(
      1,
      Math.min(Math.ceil(each / maximumWorkers), Math.floor(each / MINIMUM_WORKERS_PER_SHARE)),
    );
  const shareCounts = [...workers].map(([name, each]) => [name, shareCountOf(each)] as const);
  return ShareLayout.byDataCentre(new Map(shareCounts));
};
