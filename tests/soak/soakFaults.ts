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

/** Kinds of faults that strike owners while they change; some come more often. */
export const OWNER_FAULT_KINDS = [
  'owner-series',
  'owner-series',
  'owner-series',
  'two-owners-kill',
  'owner-terminate',
  'all-entries-kill',
  'some-entries-store-reset',
  'some-entries-store-cut',
  'entry-pause',
  'entry-store-one-way',
  'entry-store-reset',
  'store-reset',
  'store-slow',
  'store-late',
  'store-lost',
  'store-busy',
  'store-silent',
  'store-compact',
  'store-leases-lapse',
  'zone-cut-from-owner',
  'zone-cut-from-owner',
  'zone-cut-from-successor',
  'zone-unlisted',
  'zones-part',
  'takeover-part',
  'takeover-part',
  'owner-part',
  'worker-late-orders',
  'worker-crash',
  'worker-cut',
] as const;

/** Kinds of scenes, in which several faults strike while owners change. */
export const SCENE_KINDS = [
  'owner-part',
  'owner-part-draining',
  'owner-part-drained',
  'owner-part-new-worker',
  'owner-part-replaced-worker',
  'owner-part-restarted-worker',
  'owner-part-long',
  'successor-part',
  'successor-lapse',
  'owners-kill-replaced-workers',
] as const;

/** A kind of scene. */
export type SceneKind = (typeof SCENE_KINDS)[number];

/** A kind of fault. */
export type FaultKind =
  (typeof FAULT_KINDS)[number] | (typeof OWNER_FAULT_KINDS)[number] | SceneKind;

/** One fault. */
export interface Fault {
  readonly kind: FaultKind;
  /** From the start, in milliseconds. */
  readonly atMs: number;
  readonly forMs: number;
  /** Picks the entry, worker or zone that it strikes. */
  readonly target: number;
  /** When something more strikes, in milliseconds from the share's next takeover or takeovers. */
  readonly followUpsMs: readonly number[];
}

/** Most owners of a share that are killed after the first. */
const MOST_KILLS = 4;

/** Shortest and longest time between a takeover and the kill, in milliseconds. */
const SHORTEST_KILL_MS = 50;
const LONGEST_KILL_MS = 1_000;

/** Longest time between the kill of an owner and the partition of two data centres, in milliseconds. */
const LONGEST_PART_MS = 400;

/** Shortest and longest time until the new owner then loses the store, in milliseconds. */
const SHORTEST_STORE_CUT_MS = 5_000;
const LONGEST_STORE_CUT_MS = 15_000;

/** Longer times of faults that last until an owner gives up on workers, in milliseconds. */
const LASTING_MS: Partial<Record<FaultKind, readonly [shortest: number, longest: number]>> = {
  'takeover-part': [24_000, 30_000],
  'owner-part': [12_500, 18_000],
  'zones-part': [2_000, 25_000],
  'zone-cut-from-owner': [500, 20_000],
  'zone-cut-from-successor': [500, 20_000],
  'some-entries-store-reset': [500, 14_000],
  'some-entries-store-cut': [500, 14_000],
};

/** Shortest and longest time of a scene, in milliseconds. */
const SCENE_MS: readonly [shortest: number, longest: number] = [13_000, 17_000];
const SUCCESSOR_SCENE_MS: readonly [shortest: number, longest: number] = [20_000, 23_000];

/** Time until the first owner has begun and workers are busy, in milliseconds. */
const BEFORE_SCENES_MS = 12_000;

/** Time between two scenes, in which terms and leases of the former one end, in milliseconds. */
const BETWEEN_SCENES_MS = 9_000;

/** When the further faults of a scene strike, in milliseconds. */
const SCENE_FOLLOW_UPS_MS: Readonly<
  Record<SceneKind, readonly (readonly [shortest: number, longest: number])[]>
> = {
  'owner-part': [],
  'owner-part-draining': [[1_000, 2_500]],
  'owner-part-drained': [[500, 1_200]],
  'owner-part-new-worker': [[500, 7_000]],
  'owner-part-replaced-worker': [[500, 7_000]],
  'owner-part-restarted-worker': [],
  'owner-part-long': [
    [11_000, 13_000],
    [200, 1_500],
  ],
  'successor-part': [
    [10, 300],
    [10, 1_500],
  ],
  'successor-lapse': [
    [1_600, 2_000],
    [2_000, 3_000],
  ],
  'owners-kill-replaced-workers': [
    [50, 3_000],
    [200, 2_500],
  ],
};

/** Time between the last power loss and the end of the load, in milliseconds. */
const CLOSING_MS = 1_500;

/** Shortest and longest time of a fault, in milliseconds. */
const SHORTEST_MS = 500;
const LONGEST_MS = 7_000;

/** Time without faults at the begin, in milliseconds. */
const QUIET_MS = 3_000;

const MANY = 1_000;

const drawBetween = (random: SeededRandom, shortestMs: number, longestMs: number): number =>
  shortestMs + random.below(longestMs - shortestMs);

const drawFollowUps = (random: SeededRandom, kind: FaultKind): readonly number[] => {
  if (kind === 'takeover-part') {
    return [
      random.below(LONGEST_PART_MS),
      drawBetween(random, SHORTEST_STORE_CUT_MS, LONGEST_STORE_CUT_MS),
    ];
  }
  if (kind !== 'owner-series' && kind !== 'two-owners-kill') return [];
  return Array.from({ length: 1 + random.below(MOST_KILLS) }, () =>
    drawBetween(random, SHORTEST_KILL_MS, LONGEST_KILL_MS),
  );
};

/**
 * Draws the faults of a soak.
 *
 * @param random - source of random numbers
 * @param durationMs - time in which faults strike, in milliseconds
 * @param gapMs - mean time between two faults, in milliseconds
 * @param kinds - kinds of faults to draw from
 * @returns the faults, by time
 */
export const drawFaults = (
  random: SeededRandom,
  durationMs: number,
  gapMs: number,
  kinds: readonly FaultKind[] = FAULT_KINDS,
): readonly Fault[] => {
  const faults: Fault[] = [];
  let atMs = QUIET_MS + random.exponential(gapMs);
  while (atMs < durationMs) {
    const kind = kinds[random.below(kinds.length)] ?? 'entry-kill';
    const [shortestMs, longestMs] = LASTING_MS[kind] ?? [SHORTEST_MS, LONGEST_MS];
    const spanMs = drawBetween(random, shortestMs, longestMs);
    const forMs = Math.min(spanMs, Math.max(SHORTEST_MS, durationMs - atMs));
    const target = random.below(MANY);
    const followUpsMs = drawFollowUps(random, kind);
    faults.push({ kind, atMs: Math.round(atMs), forMs, target, followUpsMs });
    atMs += random.exponential(gapMs);
  }
  return faults;
};

/**
 * Draws faults that strike owners in series, and a loss of all entries at the end of the load.
 *
 * @param random - source of random numbers
 * @param durationMs - time in which faults strike, in milliseconds
 * @param gapMs - mean time between two faults, in milliseconds
 * @param kinds - kinds of faults to draw from
 * @returns the faults, by time
 */
export const drawOwnerFaults = (
  random: SeededRandom,
  durationMs: number,
  gapMs: number,
  kinds: readonly FaultKind[] = OWNER_FAULT_KINDS,
): readonly Fault[] => [
  ...drawFaults(random, durationMs - CLOSING_MS, gapMs, kinds),
  {
    kind: 'all-entries-kill',
    atMs: durationMs - CLOSING_MS,
    forMs: SHORTEST_MS,
    target: 0,
    followUpsMs: [],
  },
];

/**
 * Draws scenes that follow one another, each with the time that it needs.
 *
 * @param random - source of random numbers
 * @param durationMs - time in which scenes begin and end, in milliseconds
 * @param kinds - kinds of scenes to draw from
 * @returns the scenes, by time
 */
export const drawScenes = (
  random: SeededRandom,
  durationMs: number,
  kinds: readonly SceneKind[] = SCENE_KINDS,
): readonly Fault[] => {
  const scenes: Fault[] = [];
  let atMs = BEFORE_SCENES_MS + random.below(QUIET_MS);
  for (;;) {
    const kind = kinds[random.below(kinds.length)] ?? 'owner-part';
    const [shortestMs, longestMs] = kind.startsWith('successor-') ? SUCCESSOR_SCENE_MS : SCENE_MS;
    const forMs = drawBetween(random, shortestMs, longestMs);
    const target = random.below(MANY);
    const followUpsMs = SCENE_FOLLOW_UPS_MS[kind].map(([shortest, longest]) =>
      drawBetween(random, shortest, longest),
    );
    if (atMs + forMs > durationMs) return scenes;
    scenes.push({ kind, atMs, forMs, target, followUpsMs });
    atMs += forMs + BETWEEN_SCENES_MS;
  }
};
