/**
 * Decides into how many shares a site is divided.
 *
 * A site is divided only if one owner cannot carry it, because it has many workers or its entries
 * run on weak VMs. Otherwise it stays one share: a single owner sees all free capacity at once.
 */
import { ShareLayout } from './shareLayout.js';

/** Processor time that an owner needs per worker, as a fraction of a core of standard speed. */
const OWNER_CORES_PER_WORKER = 0.0015;

/**
 * Maximum planned processor load of an owner, as a fraction; the rest is for bursts and takeovers.
 */
const MAXIMUM_OWNER_LOAD = 0.4;

/** Minimum workers of a share in a divided data centre: fewer cannot hold a step of many tasks. */
const MINIMUM_WORKERS_PER_SHARE = 10;

/** Size of a site when it is first started. */
export interface SiteSize {
  /** Number of workers by data centre. */
  readonly workers: ReadonlyMap<string, number>;
  /** All data centres of the site; undefined if they are not known. */
  readonly dataCentres?: ReadonlySet<string> | undefined;
  /** Processor of an entry's VM, as a fraction of a core of standard speed. */
  readonly processorShare: number;
}

/**
 * Plans the shares of a site. Workers that name a data centre the site does not have get no share of
 * their own.
 *
 * @param size - number of workers, data centres, and speed of an entry's processor
 * @returns the layout: one share, or one or more for each data centre
 */
export const planShares = ({ workers, dataCentres, processorShare }: SiteSize): ShareLayout => {
  const maximumWorkers = Math.max(
    1,
    Math.floor((MAXIMUM_OWNER_LOAD * processorShare) / OWNER_CORES_PER_WORKER),
  );
  const counted = [...workers].filter(([name]) => dataCentres?.has(name) ?? true);
  const count = counted.reduce((sum, [, each]) => sum + each, 0);
  if (count <= maximumWorkers) return ShareLayout.undivided();
  const shareCountOf = (each: number): number =>
    Math.max(
      1,
      Math.min(Math.ceil(each / maximumWorkers), Math.floor(each / MINIMUM_WORKERS_PER_SHARE)),
    );
  const shareCounts = counted.map(([name, each]) => [name, shareCountOf(each)] as const);
  return ShareLayout.byDataCentre(new Map(shareCounts));
};
