/**
 * Which faults strike when: drawn from a seed, in series and overlapping.
 */
import type { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';

/** Kinds of faults. */
export const FAULT_KINDS = [
  'entry-kill',
  'all-entries-kill',
  'entry-pause',
  'entry-terminate',
  'entry-reload',
  'entry-store-cut',
  'entry-store-one-way',
  'entry-store-reset',
  'entry-store-silent',
  'store-busy',
  'store-silent',
  'store-slow',
  'store-late',
  'store-compact',
  'store-leases-lapse',
  'worker-crash',
  'worker-drain',
  'worker-cut',
  'worker-one-way',
  'worker-reset',
  'worker-delay',
  'worker-silent-connections',
  'worker-late-orders',
  'worker-hang',
  'configuration-change',
  'evacuation',
] as const;

/** A kind of fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault. */
export interface Fault {
  readonly kind: FaultKind;
  /** From the start, in milliseconds. */
  readonly atMs: number;
  readonly forMs: number;
  /** Picks the entry, worker or zone that it strikes. */
  readonly target: number;
}

/** Shortest and longest time of a fault, in milliseconds. */
const SHORTEST_MS = 500;
const LONGEST_MS = 7_000;

/** Time without faults at the begin, in milliseconds. */
const QUIET_MS = 3_000;

const MANY = 1_000;

/**
 * Draws the faults of a soak.
 *
 * @param random - source of random numbers
 * @param durationMs - time in which faults strike, in milliseconds
 * @param gapMs - mean time between two faults, in milliseconds
 * @returns the faults, by time
 */
export const drawFaults = (
  random: SeededRandom,
  durationMs: number,
  gapMs: number,
): readonly Fault[] => {
  const faults: Fault[] = [];
  let atMs = QUIET_MS + random.exponential(gapMs);
  while (atMs < durationMs) {
    const kind = FAULT_KINDS[random.below(FAULT_KINDS.length)] ?? 'entry-kill';
    const spanMs = SHORTEST_MS + random.below(LONGEST_MS - SHORTEST_MS);
    const forMs = Math.min(spanMs, Math.max(SHORTEST_MS, durationMs - atMs));
    faults.push({ kind, atMs: Math.round(atMs), forMs, target: random.below(MANY) });
    atMs += random.exponential(gapMs);
  }
  return faults;
};
