/**
 * What entries at rest cost one another and the store, against their number.
 *
 * @packageDocumentation
 */

import { mean } from '../support/statistics.js';
import { measureSite, withSite, type EntryRate, type SiteRate } from './costSite.js';
import { slopeOf, type Slope } from './slope.js';

const SUITE = 'entryFanOut';
const SIZES = [4, 7, 14, 28];
const PLACES = ['Ashburton', 'Timaru', 'Rakaia', 'Temuka'];
const MEASURE_MS = 12_000;

const measure = (entries: number): Promise<SiteRate> => {
  const dataCentres = PLACES.map((name, index) => ({
    name,
    racks: [1],
    entries: Math.floor((entries + PLACES.length - 1 - index) / PLACES.length),
  }));
  return withSite(dataCentres, async (running) => {
    const rate = await measureSite(running, MEASURE_MS);
    console.log(`${SUITE} ${entries}: ${JSON.stringify(rate.entries[0])} ${rate.callsPerSecond}`);
    return rate;
  });
};

/**
 * Measures more and more entries at rest.
 *
 * @returns slopes for each entry and for the store
 */
export const entryFanOut = async (): Promise<readonly Slope[]> => {
  const rates: (readonly [number, SiteRate])[] = [];
  for (const size of SIZES) rates.push([size, await measure(size)]);
  const slope = (name: string, unit: string, value: (rate: SiteRate) => number): Slope =>
    slopeOf(
      { name, unit, sizeAxis: 'entries of a site' },
      rates.map(([size, rate]) => [size, value(rate)]),
      SUITE,
    );
  const average =
    (value: (rate: EntryRate) => number) =>
    ({ entries }: SiteRate): number =>
      mean(entries.map(value));
  return [
    slope(
      'entries at rest: processor of one entry',
      'share of a core',
      average(({ cpuShare }) => cpuShare),
    ),
    slope(
      'entries at rest: resident memory of one entry',
      'bytes',
      average(({ residentBytes }) => residentBytes),
    ),
    // Each byte between two entries passes one relay and counts at both.
    slope(
      'entries at rest: connections of one entry to peers, both directions',
      'bytes/s',
      average(({ peerBytesPerSecond }) => 2 * peerBytesPerSecond),
    ),
    slope(
      'entries at rest: connection of one entry to the platform, both directions',
      'bytes/s',
      average(({ platformBytesPerSecond }) => platformBytesPerSecond),
    ),
    slope(
      'entries at rest: store calls of one entry',
      'calls/s',
      ({ entries, callsPerSecond }) => callsPerSecond / entries.length,
    ),
    slope(
      'entries at rest: store calls of all entries',
      'calls/s',
      ({ callsPerSecond }) => callsPerSecond,
    ),
  ];
};
