/**
 * The machines of a site: data centres with racks of workers, and entries.
 */
import type { WorkerListing } from 'samphirenotch/infrastructure/vmList.js';
import type { Size } from 'samphirenotch/infrastructure/worker.js';

/** A data centre of a site. */
export interface DataCentrePlan {
  readonly name: string;
  /** Number of workers in each rack. */
  readonly racks: readonly number[];
  readonly entries: number;
}

/** A site. */
export interface SitePlan {
  readonly name: string;
  readonly capacity: Size;
  readonly dataCentres: readonly DataCentrePlan[];
}

const SLOTS = 8;
const CONNECTIONS = 64;

/** Sizes of the Canterbury Plains Grain Exchange Council. */
export const COUNCIL: SitePlan = {
  name: 'council',
  capacity: { milliCores: 16_000, memoryMb: 60_000, accelerators: 0 },
  dataCentres: [
    { name: 'Ashburton', racks: [6, 6], entries: 2 },
    { name: 'Timaru', racks: [6], entries: 2 },
    { name: 'Rakaia', racks: [6], entries: 2 },
    { name: 'Temuka', racks: [6], entries: 1 },
  ],
};

/** Sizes of Kováčik a synovia. */
export const KOVACIK: SitePlan = {
  name: 'kovacik',
  capacity: { milliCores: 32_000, memoryMb: 125_000, accelerators: 0 },
  dataCentres: [
    { name: 'Bratislava', racks: [9, 9], entries: 3 },
    { name: 'Trnava', racks: [9, 9], entries: 2 },
    { name: 'Nitra', racks: [9], entries: 2 },
  ],
};

/**
 * Lists the workers of one rack.
 *
 * @param plan - the site
 * @param dataCentre - the data centre
 * @param rack - index of the rack
 * @returns listings with addresses on loopback whose ports are still to be chosen
 */
export const rackListings = (
  plan: SitePlan,
  dataCentre: DataCentrePlan,
  rack: number,
): readonly WorkerListing[] =>
  Array.from({ length: dataCentre.racks[rack] ?? 0 }, (_, index) => ({
    id: `${dataCentre.name}-r${rack + 1}-w${index + 1}`,
    address: '127.0.0.1:0',
    dataCentre: dataCentre.name,
    rack: `r${rack + 1}`,
    capacity: plan.capacity,
    slots: SLOTS,
    connections: CONNECTIONS,
    leaving: false,
  }));
