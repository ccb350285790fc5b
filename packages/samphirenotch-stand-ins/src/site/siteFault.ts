/**
 * Faults of a running site, each with its cure.
 */
import { pause, until, type Site, type SiteEntry } from './site.js';
import type { SiteOperator } from './siteOperator.js';

/** Where faults are made. */
export interface FaultPlace {
  readonly site: Site;
  readonly operator: SiteOperator;
  /** Picks one of several, in a repeatable way. */
  readonly pick: <T>(items: readonly T[]) => T;
}

/** A fault in force. */
export interface Fault {
  /** Ends the fault. */
  cure(): Promise<void>;
}

/** A kind of fault. */
export interface FaultKind {
  readonly name: string;
  begin(place: FaultPlace): Promise<Fault>;
}

const TAKE_OVER_TIMEOUT_MS = 15_000;
/** Longer than a leaving worker may still get new work. */
const LEAVING_MS = 8000;
/** Longer than a task may still start in a data centre that is out. */
const OUT_MS = 8000;

/** Waits until others own everything, or for some time: beside another fault nobody may be able to. */
const takenOver = async (
  { site, operator }: FaultPlace,
  lost: readonly SiteEntry[],
): Promise<void> => {
  const others = site.entries.filter((entry) => !lost.includes(entry));
  const lostIds = new Set(lost.map(({ id }) => id));
  await until(
    'resources to be taken over',
    async () => {
      const owners = await Promise.all(others.map((entry) => operator.ownersSeenBy(entry)));
      return owners.some(
        (seen) => seen.length > 0 && seen.every((owner) => owner !== null && !lostIds.has(owner)),
      );
    },
    TAKE_OVER_TIMEOUT_MS,
  ).catch(() => undefined);
};

const pickEntry = ({ site, pick }: FaultPlace): SiteEntry => pick(site.entries);

const entryKilled: FaultKind = {
  name: 'entry killed and replaced',
  begin: async (place) => {
    const victim = pickEntry(place);
    await place.site.killEntry(victim);
    return {
      cure: async () => {
        await place.site.startEntry(victim.dataCentre);
      },
    };
  },
};

const entryFrozen: FaultKind = {
  name: 'entry frozen past its lease',
  begin: async (place) => {
    const frozen = pickEntry(place);
    frozen.program.freeze();
    await takenOver(place, [frozen]);
    return { cure: async () => frozen.program.resume() };
  },
};

const entryStopped: FaultKind = {
  name: 'entry stopped as planned and replaced',
  begin: async (place) => {
    const victim = pickEntry(place);
    await place.site.stopEntry(victim);
    return {
      cure: async () => {
        await place.site.startEntry(victim.dataCentre);
      },
    };
  },
};

const storeDown: FaultKind = {
  name: 'store down',
  begin: async ({ site }) => {
    await site.platformFaults({ down: true });
    return { cure: () => site.platformFaults({ down: false }) };
  },
};

const storeSlow: FaultKind = {
  name: 'store slow',
  begin: async ({ site }) => {
    await site.platformFaults({ delayMs: 300 });
    return { cure: () => site.platformFaults({ delayMs: 0 }) };
  },
};

const answersLost: FaultKind = {
  name: 'store answers lost',
  begin: async ({ site }) => {
    await site.platformFaults({ loseAnswers: 40 });
    return { cure: () => site.platformFaults({ loseAnswers: 0 }) };
  },
};

const cutFromStore: FaultKind = {
  name: 'entry cut from the store',
  begin: async (place) => {
    const cut = pickEntry(place);
    cut.platformRelay.set('cut');
    await takenOver(place, [cut]);
    return { cure: async () => cut.platformRelay.set('open') };
  },
};

const silentStore: FaultKind = {
  name: 'connections of an entry to the store go silent',
  begin: async (place) => {
    const { platformRelay } = pickEntry(place);
    platformRelay.set('silent');
    return { cure: async () => platformRelay.set('open') };
  },
};

const silentPeers: FaultKind = {
  name: 'connections of peers to an entry go silent',
  begin: async (place) => {
    const { peerRelay } = pickEntry(place);
    peerRelay.set('silent');
    return { cure: async () => peerRelay.set('open') };
  },
};

const dataCentreCut: FaultKind = {
  name: 'data centre cut from store and peers',
  begin: async (place) => {
    const { site, pick } = place;
    const { name } = pick(site.plan.dataCentres);
    const entries = site.entries.filter(({ dataCentre }) => dataCentre === name);
    const relays = entries.flatMap((entry) => [entry.platformRelay, entry.peerRelay]);
    relays.forEach((relay) => relay.set('cut'));
    await takenOver(place, entries);
    return { cure: async () => relays.forEach((relay) => relay.set('open')) };
  },
};

const workerSilent: FaultKind = {
  name: 'worker silent',
  begin: async ({ site, pick }) => {
    const { id } = pick(site.workers());
    await site.workerFaults(id, { silent: true });
    return { cure: () => site.workerFaults(id, { silent: false }) };
  },
};

const workerFails: FaultKind = {
  name: 'worker fails everything',
  begin: async ({ site, pick }) => {
    const { id } = pick(site.workers());
    await site.workerFaults(id, { failEverything: true });
    return { cure: () => site.workerFaults(id, { failEverything: false }) };
  },
};

const workerLate: FaultKind = {
  name: 'worker answers late and loses answers',
  begin: async ({ site, pick }) => {
    const { id } = pick(site.workers());
    await site.workerFaults(id, { answerDelayMs: 1500, loseAnswers: 10 });
    return { cure: () => site.workerFaults(id, { answerDelayMs: 0, loseAnswers: 0 }) };
  },
};

const workerLeaves: FaultKind = {
  name: 'worker leaves',
  begin: async ({ site, pick }) => {
    const { id } = pick(site.workers());
    await site.listLeaving(id, true);
    await pause(LEAVING_MS);
    return { cure: () => site.listLeaving(id, false) };
  },
};

const dataCentreOut: FaultKind = {
  name: 'data centre taken out',
  begin: async ({ site, operator, pick }) => {
    const { name } = pick(site.plan.dataCentres);
    await operator.insistOnOutage('start', name);
    await pause(OUT_MS);
    return { cure: () => operator.insistOnOutage('end', name) };
  },
};

/** Every kind of fault, by a short name. */
export const FAULTS = {
  entryKilled,
  entryFrozen,
  entryStopped,
  storeDown,
  storeSlow,
  answersLost,
  cutFromStore,
  silentStore,
  silentPeers,
  dataCentreCut,
  workerSilent,
  workerFails,
  workerLate,
  workerLeaves,
  dataCentreOut,
} as const satisfies Readonly<Record<string, FaultKind>>;

/** Short name of a fault. */
export type FaultName = keyof typeof FAULTS;
