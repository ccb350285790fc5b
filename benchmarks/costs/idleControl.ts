/**
 * What control costs an entry at rest, against the workers that it owns.
 *
 * @packageDocumentation
 */

import { measureSite, withSite, type EntryRate } from './costSite.js';
import { slopeOf, type Slope } from './slope.js';

const SUITE = 'idleControl';
const SIZES = [30, 120, 480, 1200];
const WORKERS_PER_RACK = 40;
const MEASURE_MS = 12_000;
const SIZE_AXIS = 'workers owned by one entry';

const racksOf = (workers: number): readonly number[] => {
  const whole = Array.from(
    { length: Math.floor(workers / WORKERS_PER_RACK) },
    () => WORKERS_PER_RACK,
  );
  const rest = workers % WORKERS_PER_RACK;
  return rest === 0 ? whole : [...whole, rest];
};

const measure = (workers: number): Promise<EntryRate> =>
  withSite([{ name: 'Ashburton', racks: racksOf(workers), entries: 1 }], async (running) => {
    const { entries } = await measureSite(running, MEASURE_MS);
    const [entry] = entries;
    if (!entry) throw new Error('No entry runs.');
    console.log(`${SUITE} ${workers}: ${JSON.stringify(entry)}`);
    return entry;
  });

/**
 * Measures an entry at rest with more and more workers.
 *
 * @returns slopes of processor time, memory and bytes
 */
export const idleControl = async (): Promise<readonly Slope[]> => {
  const rates: (readonly [number, EntryRate])[] = [];
  for (const size of SIZES) rates.push([size, await measure(size)]);
  const slope = (name: string, unit: string, value: (rate: EntryRate) => number): Slope =>
    slopeOf(
      { name, unit, sizeAxis: SIZE_AXIS },
      rates.map(([size, rate]) => [size, value(rate)]),
      SUITE,
    );
  return [
    slope('entry at rest: processor', 'share of a core', ({ cpuShare }) => cpuShare),
    slope('entry at rest: resident memory', 'bytes', ({ residentBytes }) => residentBytes),
    slope(
      'entry at rest: connections to workers, both directions',
      'bytes/s',
      ({ bytesPerSecond, platformBytesPerSecond }) => bytesPerSecond - platformBytesPerSecond,
    ),
    slope(
      'entry at rest: connection to the platform, both directions',
      'bytes/s',
      ({ platformBytesPerSecond }) => platformBytesPerSecond,
    ),
  ];
};
