/**
 * What whole entries were measured to take, at the letter's size.
 *
 * @packageDocumentation
 */

import type { Slope as SiteSlope } from '../costs/slope.js';
import { type CapacitySection, costAt, figure, siteSlope } from './figures.js';
import { ASSUMED, BYTES_PER_MEGABYTE, LETTER } from './inputs.js';

const PERCENT = 100;
const PER_THOUSAND = 1_000;

const lastCost = (costs: readonly SiteSlope[], name: string): number =>
  siteSlope(costs, name).points.at(-1)?.[1] ?? 0;

/**
 * Works out what an entry takes while nothing happens.
 *
 * @param costs - what was measured of whole entries
 * @param entries - number of entries
 * @returns the section
 */
export const restSection = (costs: readonly SiteSlope[], entries: number): CapacitySection => {
  const workers = LETTER.workers / entries;
  const at = (name: string): number => costAt(siteSlope(costs, `entry at rest: ${name}`), workers);
  const processor = at('processor');
  const workerBytes = at('connections to workers, both directions');
  const platformBytes = at('connection to the platform, both directions');

  return {
    title: 'An entry at rest',
    mechanism:
      'Heartbeats to owned workers and to peers, renewals, watches, and the list of VMs, in one ' +
      'process; measured whole, on a busy machine.',
    figures: [
      figure('Workers of an entry', workers, 'workers', 'derived', 'workers / entries'),
      figure('Processor', PERCENT * processor, '% of a core', 'measured', 'costs, at that many'),
      figure(
        'Budget for each node',
        PERCENT * LETTER.coreShare,
        '% of a core',
        'letter',
        'for control',
      ),
      figure(
        'Processor of all entries, spread over all nodes',
        (PERCENT * processor * entries) / (LETTER.workers + entries),
        '% of a core',
        'derived',
        'nothing of the system runs on workers',
      ),
      figure(
        'Resident memory',
        at('resident memory') / BYTES_PER_MEGABYTE,
        'MB',
        'measured',
        'costs, at that many; without jobs and traffic',
      ),
      figure('To and from workers', workerBytes, 'bytes per second', 'measured', 'costs'),
      figure(
        'To and from one worker',
        workerBytes / workers,
        'bytes per second',
        'derived',
        'the share of one worker of 7 KB a second',
      ),
      figure(
        'To and from the platform',
        platformBytes,
        'bytes per second',
        'measured',
        'costs; the site measured had no other workers',
      ),
      figure(
        'The same with all workers in the list of VMs',
        costAt(
          siteSlope(costs, 'entry at rest: connection to the platform, both directions'),
          LETTER.workers,
        ) / BYTES_PER_MEGABYTE,
        'MB per second',
        'derived',
        'the last two points of costs, continued to all workers',
      ),
    ],
  };
};

/**
 * Tells what a request through an entry takes.
 *
 * @param costs - what was measured of whole entries
 * @returns the section
 */
export const requestSection = (costs: readonly SiteSlope[]): CapacitySection => {
  const latency = (way: string): number => lastCost(costs, `request, ${way}: median latency`);
  const processor = (way: string): number =>
    PER_THOUSAND * siteSlope(costs, `request, ${way}: processor of all processes on the way`).slope;
  const ways = ['bare relay', 'direct', 'forwarded'];

  return {
    title: 'A request through an entry',
    mechanism: 'The receiving entry sends to its own worker, or forwards once to a peer.',
    figures: [
      figure('Median latency, no relay', latency('no relay'), 'ms', 'measured', 'costs'),
      ...ways.flatMap((way) => [
        figure(`Median latency, ${way}`, latency(way), 'ms', 'measured', 'costs, 8 at a time'),
        figure(
          `Processor, ${way}`,
          processor(way),
          'us',
          'measured',
          'slope of costs, all on the way',
        ),
      ]),
      figure(
        'Requests of one core, direct',
        1_000_000 / processor('direct'),
        'per second',
        'derived',
        '1 / processor of one',
      ),
    ],
  };
};

/**
 * Tells what group commit and recovery take against the stand-in of the store.
 *
 * @param costs - what was measured
 * @param jobsPerPartition - jobs of a partition
 * @returns the section
 */
export const commitSection = (
  costs: readonly SiteSlope[],
  jobsPerPartition: number,
): CapacitySection => {
  const changeBytes = costAt(
    siteSlope(costs, 'group commit: bytes written for a change of a random job, 400 a second'),
    jobsPerPartition,
  );
  const changeCalls = costAt(
    siteSlope(costs, 'group commit: store calls for a change of a random job, 400 a second'),
    jobsPerPartition,
  );
  const changes = LETTER.startsPerSecond * ASSUMED.changesPerStart;

  return {
    title: 'Group commit and recovery, measured whole',
    mechanism: 'The head of a partition and its chunks, against the stand-in of the store.',
    figures: [
      figure(
        'Store calls for one change',
        changeCalls,
        'calls',
        'measured',
        'costs, 400 changes a second at that many jobs',
      ),
      figure(
        'Store calls at the peak',
        changeCalls * changes,
        'calls per second',
        'derived',
        'changes at the peak x calls of one, if all partitions were as busy as measured',
      ),
      figure('Bytes for one change', changeBytes, 'bytes', 'measured', 'costs, the same'),
      figure(
        'Bytes at the peak',
        (changeBytes * changes) / BYTES_PER_MEGABYTE,
        'MB per second',
        'derived',
        'changes at the peak x bytes of one',
      ),
      figure(
        'Taking a partition over',
        costAt(siteSlope(costs, 'recovery of a partition: time'), jobsPerPartition),
        'ms',
        'measured',
        'costs, store in the same process',
      ),
      figure(
        'Bytes read to take one over',
        costAt(siteSlope(costs, 'recovery of a partition: bytes read'), jobsPerPartition) /
          BYTES_PER_MEGABYTE,
        'MB',
        'measured',
        'costs',
      ),
    ],
  };
};
