/**
 * Decides into how many shares a site is divided.
 *
 * Answers the pattern of sites that one entry cannot carry: many workers, or entries on weak VMs. What
 * one entry carries easily stays whole, since one owner sees all room at once.
 */
import { ShareLayout } from './shareLayout.js';

/** What the workers of a site ask of one core of the usual speed, each, as a share of it. */
const LOAD_OF_WORKER = 0.0015;

/** Share of its VM's processor that an owner is to need at most; bursts and takeovers need the rest. */
const MOST_LOAD = 0.4;

/** Workers that a share has at least where a data centre is divided: fewer hold no wide step. */
const LEAST_WORKERS = 10;

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
  const most = Math.max(1, Math.floor((MOST_LOAD * processorShare) / LOAD_OF_WORKER));
  const count = [...workers.values()].reduce((sum, each) => sum + each, 0);
  if (count <= most) return ShareLayout.whole();
  const partsOf = (each: number): number =>
    Math.max(1, Math.min(Math.ceil(each / most), Math.floor(each / LEAST_WORKERS)));
  const parts = [...workers].map(([name, each]) => [name, partsOf(each)] as const);
  return ShareLayout.byDataCentre(new Map(parts));
};
