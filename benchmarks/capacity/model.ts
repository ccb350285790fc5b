/**
 * Works out, from measured slopes, what the letter's size asks for and what breaks first.
 *
 * @packageDocumentation
 */

import { SESSION_TIMES } from 'samphirenotch/membership/session.js';

import {
  entriesSection,
  heartbeatBytes,
  memorySection,
  messageSection,
  processorModel,
} from './entrySections.js';
import { type CapacitySection, largestPerItem, type MeasuredSlopes, slopeOf } from './figures.js';
import { ASSUMED, BYTES_PER_MEGABYTE, LETTER, MS_PER_SECOND } from './inputs.js';
import { recoverySection, stepsSection, storeSection } from './storeSections.js';

/** All that the page says in figures. */
export interface CapacityModel {
  readonly entries: number;
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

const limitsOf = (measured: MeasuredSlopes, entries: number): CapacityLimit[] => {
  const bytesPerPeer = heartbeatBytes(measured, ASSUMED.othersPerHeartbeat, 1);
  const seriesBytes = largestPerItem(slopeOf(measured, 'memory of histogram series'));
  const roomBytes = LETTER.memoryMegabytes * BYTES_PER_MEGABYTE - measured.processBytes;
  const perWorker = LETTER.workers / entries;

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
      what: 'Heartbeats to workers pass 3.3 % of a core',
      at: perWorker,
      unit: 'workers per entry',
      needed: perWorker,
      then: 'report only what has changed at a worker, and heartbeat idle workers less often',
    },
  ];
};

/**
 * Works the page out.
 *
 * @param measured - what the benchmarks wrote
 * @returns the figures, by role
 */
export const modelCapacity = (measured: MeasuredSlopes): CapacityModel => {
  const { entries } = processorModel(measured);

  return {
    entries,
    sections: [
      entriesSection(measured, entries),
      memorySection(measured, entries),
      messageSection(measured, entries),
      storeSection(measured, entries),
      recoverySection(measured, entries),
      stepsSection(measured, entries),
    ],
    limits: limitsOf(measured, entries),
  };
};
