/**
 * Works out, from measured slopes, what the letter's size asks for and what breaks first.
 *
 * @packageDocumentation
 */

import { SESSION_TIMES } from 'samphirenotch/membership/session.js';
import type { Slope as SiteSlope } from '../costs/slope.js';

import { entriesSection, entryMemory, memorySection, processorModel } from './entrySections.js';
import { type CapacitySection, largestPerItem, type MeasuredSlopes, slopeOf } from './figures.js';
import { heartbeatBytes, messageSection } from './messageSections.js';
import { ASSUMED, BYTES_PER_MEGABYTE, LETTER, MS_PER_SECOND } from './inputs.js';
import { commitSection, requestSection, restSection } from './siteSections.js';
import { recoverySection, stepsSection, storeLoad, storeSection } from './storeSections.js';

/** All that the page says in figures. */
export interface CapacityModel {
  readonly entries: number;
  /** Whether each of them stays within the letter's memory. */
  readonly isMemoryHeld: boolean;
  readonly sections: readonly CapacitySection[];
  readonly limits: readonly CapacityLimit[];
}

/** Where something breaks. */
export interface CapacityLimit {
  readonly what: string;
  readonly at: number;
  readonly unit: string;
  readonly needed: number;
  readonly then: string;
}

/** Counts the entries from which each stays within the letter's memory; nothing if none does. */
const entriesWithinMemory = (
  measured: MeasuredSlopes,
  costs: readonly SiteSlope[],
): number | undefined => {
  const budget = LETTER.memoryMegabytes * BYTES_PER_MEGABYTE;
  for (let entries = 1; entries <= LETTER.workers; entries += 1) {
    if (entryMemory(measured, costs, entries).totalBytes <= budget) return entries;
  }
  return undefined;
};

const limitsOf = (
  measured: MeasuredSlopes,
  costs: readonly SiteSlope[],
  entries: number,
): CapacityLimit[] => {
  const bytesPerPeer = heartbeatBytes(measured, ASSUMED.othersPerHeartbeat, 1);
  const seriesBytes = largestPerItem(slopeOf(measured, 'memory of histogram series'));
  const roomBytes = LETTER.memoryMegabytes * BYTES_PER_MEGABYTE - measured.processBytes;
  const perWorker = LETTER.workers / entries;
  const withinMemory = entriesWithinMemory(measured, costs);

  return [
    {
      what: 'Heartbeats among entries pass 7 KB a second',
      at: LETTER.bytesPerSecond / bytesPerPeer + 1,
      unit: 'entries',
      needed: entries,
      then: 'tell of one other entry in each heartbeat, and of the load only when it has changed',
    },
    {
      what: 'Histograms fill what the process leaves of 128 MB',
      at: roomBytes / seriesBytes,
      unit: 'series',
      needed: ASSUMED.classes * ASSUMED.stepsPerClass + LETTER.teams,
      then: 'share one series among teams that are seen rarely, and use fewer significant digits',
    },
    {
      what: 'Session renewals take half of the writes',
      at: (ASSUMED.writesPerSecond / 2) * (SESSION_TIMES.renewIntervalMs / MS_PER_SECOND),
      unit: 'entries',
      needed: entries,
      then: 'renew every 2 s with a time to live of 8 s, or one session for the entries of a rack',
    },
    {
      what: 'Memory of an entry passes 128 MB, jobs and histograms included',
      at: withinMemory === undefined ? 0 : LETTER.workers / withinMemory,
      unit: 'workers per entry',
      needed: perWorker,
      then: 'fewer connections for each worker, and histograms that are made when first used',
    },
    {
      what: 'An entry at rest passes 3.3 % of a core',
      at: 0,
      unit: 'workers per entry',
      needed: perWorker,
      then: 'slower looks of loops without news, and heartbeats that tell only what has changed',
    },
  ];
};

/**
 * Works the page out.
 *
 * @param measured - slopes of single decisions, state and messages
 * @param costs - slopes of whole entries
 * @returns the figures, by role
 */
export const modelCapacity = (
  measured: MeasuredSlopes,
  costs: readonly SiteSlope[],
): CapacityModel => {
  const withinMemory = entriesWithinMemory(measured, costs);
  const entries = Math.max(withinMemory ?? 0, processorModel(measured).entries);
  const { jobs, partitions } = storeLoad(measured, entries, ASSUMED.writesPerSecond);

  return {
    entries,
    isMemoryHeld: withinMemory !== undefined,
    sections: [
      restSection(costs, entries),
      entriesSection(measured, entries),
      memorySection(measured, costs, entries),
      messageSection(measured, entries),
      storeSection(measured, entries),
      recoverySection(measured, entries),
      commitSection(costs, jobs / partitions),
      requestSection(costs),
      stepsSection(measured, entries),
    ],
    limits: limitsOf(measured, costs, entries),
  };
};
