/**
 * The loads of both firms, as the benchmarks assume them.
 *
 * @packageDocumentation
 */

import type { Size } from 'samphirenotch/infrastructure/worker.js';

/** A firm with its fleet and its two kinds of work. */
export interface Firm {
  readonly name: 'council' | 'kovacik';
  readonly dataCentres: readonly string[];
  readonly workers: number;
  readonly workersPerRack: number;
  readonly slots: number;
  readonly capacity: Size;
  /** Requests that callers wait for. */
  readonly quick: {
    readonly taskClass: string;
    readonly serviceMs: number;
    readonly deadlineMs: number;
  };
  /** Batch work that goes before other batch work. */
  readonly urgent: BatchLoad;
  /** Batch work that can wait. */
  readonly heavy: BatchLoad;
}

/** A class of batch tasks. */
export interface BatchLoad {
  readonly taskClass: string;
  readonly priority: number;
  readonly declared: Size;
  /** What tasks really use, relative to what was declared. */
  readonly usedShare: number;
  readonly durationMs: number;
}

/** Malting barley: price checks and settlements count most. */
export const COUNCIL: Firm = {
  name: 'council',
  dataCentres: ['ashburton', 'timaru', 'rakaia', 'temuka'],
  workers: 30,
  workersPerRack: 6,
  slots: 8,
  capacity: { milliCores: 16_000, memoryMb: 61_440, accelerators: 0 },
  quick: { taskClass: 'price-check', serviceMs: 50, deadlineMs: 250 },
  urgent: {
    taskClass: 'settlement-run',
    priority: 9,
    declared: { milliCores: 4_000, memoryMb: 16_384, accelerators: 0 },
    usedShare: 0.4,
    durationMs: 60_000,
  },
  heavy: {
    taskClass: 'lot-report',
    priority: 3,
    declared: { milliCores: 4_000, memoryMb: 12_288, accelerators: 0 },
    usedShare: 0.6,
    durationMs: 180_000,
  },
};

/** Zoo rotas: shift swaps count most, then season plans. */
export const KOVACIK: Firm = {
  name: 'kovacik',
  dataCentres: ['bratislava', 'trnava', 'nitra'],
  workers: 45,
  workersPerRack: 10,
  slots: 8,
  capacity: { milliCores: 32_000, memoryMb: 128_000, accelerators: 0 },
  quick: { taskClass: 'shift-swap', serviceMs: 80, deadlineMs: 500 },
  urgent: {
    taskClass: 'rota-check',
    priority: 7,
    declared: { milliCores: 2_000, memoryMb: 8_192, accelerators: 0 },
    usedShare: 0.8,
    durationMs: 30_000,
  },
  heavy: {
    taskClass: 'season-plan',
    priority: 3,
    declared: { milliCores: 8_000, memoryMb: 32_768, accelerators: 0 },
    usedShare: 0.45,
    durationMs: 300_000,
  },
};

/** Both firms. */
export const FIRMS: readonly Firm[] = [COUNCIL, KOVACIK];

/**
 * Names the rack of a worker.
 *
 * @param firm - the firm
 * @param index - number of the worker
 * @returns the rack
 */
export const rackOf = (firm: Firm, index: number): string =>
  `rack-${Math.floor(index / firm.workersPerRack)}`;

/**
 * Counts the workers of one data centre, which one owner chooses among.
 *
 * @param firm - the firm
 * @returns their number
 */
export const workersPerDataCentre = (firm: Firm): number =>
  Math.ceil(firm.workers / firm.dataCentres.length);
