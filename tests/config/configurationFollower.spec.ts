/**
 * Following the accepted configuration through outages, cuts and pauses.
 */
import test, { type ExecutionContext } from 'ava';

import { exampleFiles, longCall, publish, withWeight } from '../fixtures/configuration.js';
import {
  addEntry,
  closeSite,
  msUntilInForce,
  openSite,
  removeEntry,
  versionsOf,
  type Site,
} from '../fixtures/configurationSite.js';

const FILES = exampleFiles('council');
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** Bound of the brief for a configuration to be in force everywhere. */
const IN_FORCE_BOUND_MS = 7_000;

/** Task starts need a younger confirmation than this. */
const START_BOUND_MS = 3_000;

/** Two entries of a data centre, a read every 400 ms. */
const READS_PER_SECOND_BOUND = 5.5;

const openPublished = async (
  t: ExecutionContext,
  seed: number,
  dataCentres?: readonly string[],
): Promise<Site> => {
  const site = openSite(seed, dataCentres);
  t.teardown(() => closeSite(site));
  await publish(site.clock, site.store, FILES);
  await site.clock.advance(5_000 + site.random(0, 400));
  return site;
};

const publishWeight = (site: Site, weight: number): Promise<number> =>
  publish(site.clock, site.store, withWeight(FILES, 'growers', weight));

test('should have an accepted configuration in force everywhere in time', async (t) => {
  const spread = undefined;
  const together = Array.from({ length: 7 }, () => 'Timaru');
  for (const dataCentres of [spread, together]) {
    for (const delayMs of [0, 200, 1_000]) {
      const tookMs: number[] = [];
      for (const seed of SEEDS) {
        const site = await openPublished(t, seed, dataCentres);
        const version = await publishWeight(site, 7);
        site.store.faults.delayMs = delayMs;
        tookMs.push(await msUntilInForce(site, version, IN_FORCE_BOUND_MS));
        closeSite(site);
      }
      const where = dataCentres ? 'one data centre' : 'four data centres';
      t.log(`${where}, store answers in ${delayMs} ms: in force after ${tookMs.join(', ')} ms`);
      t.true(Math.max(...tookMs) < IN_FORCE_BOUND_MS);
    }
  }
});

test('should have few entries read the store, and all of them confirmed', async (t) => {
  const site = await openPublished(
    t,
    1,
    Array.from({ length: 7 }, () => 'Timaru'),
  );
  const readsBefore = site.store.meter.counts().reads;
  let oldestMs = 0;
  for (let step = 0; step < 600; step += 1) {
    await site.clock.advance(50);
    const agesMs = site.entries.map(({ follower }) => follower.confirmedAgeMs());
    oldestMs = Math.max(oldestMs, ...agesMs);
  }
  const readsPerSecond = (site.store.meter.counts().reads - readsBefore) / 30;
  t.log(`oldest confirmation ${oldestMs} ms, ${readsPerSecond} reads a second`);

  t.true(oldestMs < START_BOUND_MS);
  t.true(readsPerSecond <= READS_PER_SECOND_BOUND);
});

test('should not go back to an older version when restarted in an outage', async (t) => {
  for (const seed of SEEDS) {
    const site = await openPublished(t, seed, ['Timaru', 'Timaru', 'Timaru']);
    const [behind, ahead, restarted] = site.entries;
    if (!behind || !ahead || !restarted) throw new Error('no entries');
    behind.switches.isCut = true;
    behind.switches.store = 'silent';
    const version = await publishWeight(site, 7);
    await site.clock.advance(5_000);
    t.deepEqual(versionsOf(site), [version - 1, version, version]);

    removeEntry(site, restarted);
    site.entries.forEach(({ switches }) =>
      Object.assign(switches, { store: 'down', isCut: false }),
    );
    ahead.switches.slowMs = 600;
    const seen = new Set<number>();
    const again = addEntry(site, restarted.id, 'Timaru');
    again.switches.store = 'down';
    again.follower.onChange((set) => seen.add(set.version));
    behind.switches.isCut = false;
    await site.clock.advance(15_000);

    t.deepEqual([...seen], [version], `seed ${seed}`);
    t.deepEqual(versionsOf(site), [version, version, version], `seed ${seed}`);
    closeSite(site);
  }
});

test('should keep the newer version when a slow peer or the store offers an older one', async (t) => {
  const site = await openPublished(t, 1, ['Timaru', 'Timaru']);
  const [entry] = site.entries;
  const older = entry?.follower.stamp();
  const oldRoot = await site.store.get('config/root', longCall(site.clock));
  const version = await publishWeight(site, 7);
  await site.clock.advance(5_000);
  if (!entry || !older) throw new Error('no entry');
  entry.follower.peerStamp('slow', { ...older, confirmedAgeMs: 0 }, site.clock.monotonicMs());
  await site.clock.advance(2_000);
  t.deepEqual(versionsOf(site), [version, version]);

  const newRoot = await site.store.get('config/root', longCall(site.clock));
  await site.store.swap(
    {
      key: 'config/root',
      expectedRevision: newRoot.unwrap()?.revision ?? 0,
      value: oldRoot.unwrap()?.value ?? '',
    },
    longCall(site.clock),
  );
  await site.clock.advance(5_000);
  t.deepEqual(versionsOf(site), [version, version]);
  t.true(entry.follower.confirmedAgeMs() > START_BOUND_MS);
});

test('should refuse another digest for a version that it knows', async (t) => {
  const site = await openPublished(t, 1, ['Timaru', 'Timaru']);
  const [entry] = site.entries;
  const stamp = entry?.follower.stamp();
  if (!entry || !stamp) throw new Error('no entry');
  const askedAtMs = site.clock.monotonicMs();
  const forged = { ...stamp, digest: 'f'.repeat(64), confirmedAgeMs: -60_000 };
  entry.follower.peerStamp('forger', forged, askedAtMs);
  await site.clock.advance(2_000);

  t.is(entry.follower.current()?.digest, stamp.digest);
  t.true(entry.follower.confirmedAgeMs() >= 0);
});

test('should grow old while cut off, and catch up after the cut heals', async (t) => {
  for (const seed of SEEDS) {
    const site = await openPublished(t, seed);
    const cut = site.entries.filter(({ dataCentre }) => dataCentre === 'Timaru');
    cut.forEach(({ switches }) => Object.assign(switches, { isCut: true, store: 'silent' }));
    const version = await publishWeight(site, 7);
    await site.clock.advance(START_BOUND_MS + 100);
    cut.forEach(({ follower }) => {
      t.is(follower.current()?.version, version - 1);
      t.true(follower.confirmedAgeMs() > START_BOUND_MS);
    });

    cut.forEach(({ switches }) => Object.assign(switches, { isCut: false, store: 'ok' }));
    t.true((await msUntilInForce(site, version, IN_FORCE_BOUND_MS)) < IN_FORCE_BOUND_MS);
    closeSite(site);
  }
});

test('should not be confirmed by peers that only repeat an old confirmation', async (t) => {
  const site = await openPublished(t, 2);
  site.entries.forEach(({ switches }) => Object.assign(switches, { store: 'down' }));
  await site.clock.advance(20_000);

  site.entries.forEach(({ follower }) => t.true(follower.confirmedAgeMs() > 19_000));
});

test('should go on after a read of the store that is never answered', async (t) => {
  const site = await openPublished(t, 1, ['Timaru']);
  const [entry] = site.entries;
  if (!entry) throw new Error('no entry');
  entry.switches.store = 'silent';
  await site.clock.advance(1_000);
  entry.switches.store = 'ok';
  const version = await publishWeight(site, 7);

  t.true((await msUntilInForce(site, version, IN_FORCE_BOUND_MS)) < IN_FORCE_BOUND_MS);
  t.true(entry.follower.confirmedAgeMs() < START_BOUND_MS);
});

test('should read the store itself when the entries that read it go silent', async (t) => {
  for (const seed of SEEDS) {
    const site = await openPublished(
      t,
      seed,
      Array.from({ length: 5 }, () => 'Timaru'),
    );
    const readers = site.entries.filter(({ follower }) => follower.confirmedAgeMs() < 400);
    readers.forEach(({ switches }) => Object.assign(switches, { store: 'silent' }));
    const version = await publishWeight(site, 7);
    t.true((await msUntilInForce(site, version, IN_FORCE_BOUND_MS)) < IN_FORCE_BOUND_MS);
    closeSite(site);
  }
});

test('should be as old as it is after a freeze, also by answers that came in meanwhile', async (t) => {
  for (const seed of SEEDS) {
    const site = await openPublished(t, seed, ['Timaru', 'Timaru', 'Timaru']);
    const [frozen] = site.entries;
    if (!frozen) throw new Error('no entry');
    frozen.switches.slowMs = 400;
    site.store.faults.delayMs = 200;
    await site.clock.advance(3_000 + seed * 137);
    frozen.freeze();
    await site.clock.advance(300);
    const version = await publishWeight(site, 7);
    await site.clock.advance(10_000);
    frozen.thaw();
    for (let step = 0; step < 20; step += 1) {
      await site.clock.advance(0);
      const isOld = frozen.follower.current()?.version === version - 1;
      t.true(!isOld || frozen.follower.confirmedAgeMs() >= 10_000, `seed ${seed}`);
      await site.clock.advance(1);
    }

    t.true((await msUntilInForce(site, version, IN_FORCE_BOUND_MS)) < IN_FORCE_BOUND_MS);
    closeSite(site);
  }
});

test('should count the age from when the confirming message was asked for', async (t) => {
  const site = await openPublished(t, 1, ['Timaru']);
  const [entry] = site.entries;
  const stamp = entry?.follower.stamp();
  if (!entry || !stamp) throw new Error('no entry');
  entry.switches.store = 'down';
  await site.clock.advance(10_000);
  const askedAtMs = site.clock.monotonicMs();
  site.clock.jump(4_000);
  entry.follower.peerStamp('peer', { ...stamp, confirmedAgeMs: 500 }, askedAtMs);
  t.is(entry.follower.confirmedAgeMs(), 4_500);

  entry.follower.peerStamp('peer', { ...stamp, confirmedAgeMs: 0 });
  t.is(entry.follower.confirmedAgeMs(), 4_500);
});
