/**
 * Following the configuration under several faults at once, from a seed.
 */
import test from 'ava';
import { ROOT_KEY } from 'samphirenotch/config/storedRoot.js';

import { exampleFiles, publish, tamperedStore, withWeight } from '../fixtures/configuration.js';
import {
  addEntry,
  closeSite,
  msUntilInForce,
  openSite,
  removeEntry,
  type Site,
  type SiteEntry,
} from '../fixtures/configurationSite.js';

const FILES = exampleFiles('council');
const SEEDS = [11, 12, 13, 14, 15, 16];
const ACTIONS = 60;
const STEP_MS = 50;

/** Bound of the brief for a configuration to be in force everywhere. */
const IN_FORCE_BOUND_MS = 7_000;

interface Run {
  readonly site: Site;
  /** When each version was accepted, by the clock of the site. */
  readonly acceptedAtMs: Map<number, number>;
  readonly newest: Map<SiteEntry, number>;
}

const publishNext = async (run: Run): Promise<void> => {
  const { acceptedAtMs, site } = run;
  const { clock, store } = site;
  const recording = {
    ...tamperedStore(store, () => undefined),
    swap: async (...[swap, call]: Parameters<typeof store.swap>) => {
      const swapped = await store.swap(swap, call);
      const isAccepted = swapped.ok && swapped.val.kind === 'swapped' && swap.key === ROOT_KEY;
      if (isAccepted) acceptedAtMs.set(acceptedAtMs.size + 1, clock.monotonicMs());
      return swapped;
    },
  };
  await publish(clock, recording, withWeight(FILES, 'growers', acceptedAtMs.size + 1));
};

const restart = (site: Site, entry: SiteEntry): void => {
  entry.thaw();
  removeEntry(site, entry);
  addEntry(site, entry.id, entry.dataCentre);
};

const act = async (run: Run): Promise<void> => {
  const { site } = run;
  const { entries, random, store } = site;
  const entry = entries[random(0, entries.length - 1)];
  if (!entry) return;
  const actions = [
    () =>
      Object.assign(entry.switches, { store: (['ok', 'down', 'silent'] as const)[random(0, 2)] }),
    () => Object.assign(entry.switches, { isCut: random(0, 1) === 0 }),
    () => Object.assign(entry.switches, { slowMs: [0, 300, 1_500][random(0, 2)] }),
    () => Object.assign(store.faults, { delayMs: [0, 200, 900][random(0, 2)] }),
    () => entry.freeze(),
    () => entries.forEach((each) => each.thaw()),
    () => restart(site, entry),
    () => publishNext(run),
    () => publishNext(run),
  ];
  await actions[random(0, actions.length - 1)]?.();
};

/** What an entry must not show: an older version than before, or a proof that cannot be. */
const faultsOf = ({ acceptedAtMs, newest, site }: Run): readonly string[] =>
  site.entries.flatMap((entry) => {
    const version = entry.follower.current()?.version ?? 0;
    const earlier = newest.get(entry) ?? 0;
    newest.set(entry, version);
    const confirmedAtMs = site.clock.monotonicMs() - entry.follower.confirmedAgeMs();
    const supersededAtMs = acceptedAtMs.get(version + 1) ?? Infinity;
    return [
      ...(version < earlier ? [`${entry.id} went back from ${earlier} to ${version}`] : []),
      ...(confirmedAtMs > supersededAtMs ? [`${entry.id} confirmed ${version} too late`] : []),
    ];
  });

const heal = (site: Site): void => {
  Object.assign(site.store.faults, { delayMs: 0 });
  site.entries.forEach((entry) => {
    Object.assign(entry.switches, { store: 'ok', isCut: false, slowMs: 0 });
    entry.thaw();
  });
};

test('should neither go back nor look confirmed past a newer acceptance under random faults', async (t) => {
  for (const seed of SEEDS) {
    const site = openSite(seed);
    const run: Run = { site, acceptedAtMs: new Map(), newest: new Map() };
    await publishNext(run);
    for (let action = 0; action < ACTIONS; action += 1) {
      await act(run);
      const steps = site.random(2, 30);
      for (let step = 0; step < steps; step += 1) {
        await site.clock.advance(STEP_MS);
        t.deepEqual(faultsOf(run), [], `seed ${seed}`);
      }
    }
    heal(site);
    const version = run.acceptedAtMs.size;
    const tookMs = await msUntilInForce(site, version, IN_FORCE_BOUND_MS);
    t.true(tookMs < IN_FORCE_BOUND_MS, `seed ${seed}: version ${version} after ${tookMs} ms`);
    closeSite(site);
  }
});
