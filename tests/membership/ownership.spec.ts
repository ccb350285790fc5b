import test from 'ava';
import { Lease } from 'samphirenotch/membership/lease.js';
import { OwnerKeys } from 'samphirenotch/membership/ownerKeys.js';
import type { Grant, ResourceHandler } from 'samphirenotch/membership/ownership.js';
import { SESSION_TIMES } from 'samphirenotch/membership/session.js';

import { shortCall } from '../fixtures/platform.js';
import {
  shardEntry,
  shardSite,
  advanceUntil,
  advanceWhilePending,
  type ShardSite,
} from '../fixtures/shardSite.js';

const RESOURCE = 'partition/timaru/0';

/** Creates a handler that records the resources that it takes and releases. */
const recordingHandler = (names: readonly string[] = [RESOURCE]) => {
  const taken: Grant[] = [];
  const released: string[] = [];
  const handler: ResourceHandler = {
    kind: 'partition',
    resources: () => names,
    take: (grant) => {
      taken.push(grant);
      return Promise.resolve();
    },
    release: (resource) => {
      released.push(resource);
      return Promise.resolve();
    },
  };
  return { handler, taken, released };
};

/** Checks whether a key exists in the store. */
const isStored = async (site: ShardSite, key: string): Promise<boolean> => {
  const call = { deadlineMs: Infinity, signal: new AbortController().signal };
  const read = await site.store.get(key, call);
  return read.ok && read.val !== undefined;
};

/** Runs entries that compete for the same resources. */
const competingEntries = (ids: readonly string[], names?: readonly string[]) => {
  const site = shardSite([]);
  const entries = ids.map((id) => {
    const recording = recordingHandler(names);
    return { ...recording, entry: shardEntry(site, id, { handlers: [recording.handler] }) };
  });
  const holders = (resource = RESOURCE) =>
    entries.filter(({ entry }) => entry.ownership.grantOf(resource)?.isCertain());
  return { site, entries, holders };
};

// Two entries that both try to acquire a resource must not both become its writer.
test('should give a resource to exactly one of two competing entries', async (t) => {
  const { site, entries, holders } = competingEntries(['e1', 'e2']);
  await advanceUntil(site, () => holders().length > 0);
  await site.clock.advance(5000);
  t.is(holders().length, 1);
  const [owner] = holders();
  entries.forEach(({ entry }) => t.is(entry.ownership.ownerOf(RESOURCE), owner?.entry.id));
});

// The store counts the lease from when it received the renewal. An entry that counts from the
// delayed answer would still consider itself the owner after the lease has lapsed.
test('should count the validity of a lease from the sending of a renewal, not from its answer', async (t) => {
  const { site, entries, holders } = competingEntries(['e1']);
  await advanceUntil(site, () => holders().length > 0);
  const [owner] = entries;
  if (owner) owner.entry.link.answerDelayMs = SESSION_TIMES.callTimeoutMs - 50;
  await site.clock.advance(10_000);
  t.is(holders().length, 1);
  if (owner) owner.entry.link.cut = true;
  while (await isStored(site, 'entries/e1')) await site.clock.advance(50);
  t.is(holders().length, 0, 'the grant stops being certain before the lease lapses');
});

// During a long pause of the process the lease lapses and another entry acquires the resource. The
// resumed owner must not write before it has noticed.
test('should not consider a grant certain after a pause in which its lease may have lapsed', async (t) => {
  const { site, entries, holders } = competingEntries(['e1', 'e2']);
  await advanceUntil(site, () => holders().length > 0);
  const [first] = holders();
  const grant = first?.entry.ownership.grantOf(RESOURCE);
  if (!first || !grant) return t.fail('no entry owns the resource');
  first.entry.link.frozen = true;
  const rival = entries.find(({ entry }) => entry.id !== first.entry.id);
  await advanceUntil(site, () => rival?.entry.ownership.grantOf(RESOURCE) !== undefined);
  t.false(grant.isCertain());
  t.false(grant.signal.aborted, 'the clock is the only thing that it can have noticed');
  first.entry.link.frozen = false;
  await advanceUntil(site, () => grant.signal.aborted, 3000);
  t.deepEqual(first.released, [RESOURCE]);
  const epoch = rival?.entry.ownership.grantOf(RESOURCE)?.epoch ?? 0;
  return t.true(epoch > grant.epoch);
});

// The write can succeed although its answer is lost. An entry that takes this for a failure blocks
// the resource: the key names it as the owner, but it does no work.
test('should own a resource when the answer to its compare-and-swap was lost', async (t) => {
  const { site, entries, holders } = competingEntries(['e1']);
  await advanceUntil(site, () => entries[0]?.entry.directory.isRegistered() === true);
  entries[0]?.entry.link.lostAnswers.add('swap');
  await advanceUntil(site, () => holders().length > 0, 10_000);
  const call = { deadlineMs: Infinity, signal: new AbortController().signal };
  const stored = await site.store.get(`owners/${RESOURCE}`, call);
  const revision = stored.ok ? stored.val?.revision : undefined;
  t.is(entries[0]?.entry.ownership.grantOf(RESOURCE)?.epoch, revision);
  t.is(entries[0]?.taken.length, 1);
  t.is(revision, 2, 'the first compare-and-swap acquired it');
});

// While the store is down, no entry can acquire. Dropping grants would stop work without need.
test('should keep grants, but not as certain, while the store is down', async (t) => {
  const { site, entries, holders } = competingEntries(['e1', 'e2']);
  await advanceUntil(site, () => holders().length > 0);
  const [owner] = holders();
  const grant = owner?.entry.ownership.grantOf(RESOURCE);
  site.store.faults.down = true;
  await site.clock.advance(60_000);
  t.is(owner?.entry.ownership.grantOf(RESOURCE), grant);
  t.false(grant?.signal.aborted);
  t.false(grant?.isCertain());
  t.is(entries.filter(({ taken }) => taken.length > 0).length, 1, 'no other entry acquired it');
});

// After an outage of the store another entry may reach it first and acquire the resource. The
// former owner must never be certain at the same time, and must give up its kept grant.
test('should revoke a grant when another entry acquires first after an outage of the store', async (t) => {
  const { site, entries, holders } = competingEntries(['e1', 'e2']);
  await advanceUntil(site, () => holders().length > 0);
  const [formerOwner] = holders();
  const grant = formerOwner?.entry.ownership.grantOf(RESOURCE);
  const rival = entries.find(({ entry }) => entry.id !== formerOwner?.entry.id);
  if (!formerOwner || !rival || !grant) return t.fail('no entry owns the resource');
  site.store.faults.down = true;
  await site.clock.advance(20_000);
  formerOwner.entry.link.cut = true;
  site.store.faults.down = false;
  await advanceUntil(site, () => rival.entry.ownership.grantOf(RESOURCE) !== undefined);
  t.false(grant.isCertain(), 'the former owner must not be certain beside the new one');
  formerOwner.entry.link.cut = false;
  await advanceUntil(site, () => grant.signal.aborted, 5000);
  await advanceUntil(site, () => formerOwner.entry.ownership.ownerOf(RESOURCE) === rival.entry.id);
  return t.true((rival.entry.ownership.grantOf(RESOURCE)?.epoch ?? 0) > grant.epoch);
});

// At a planned shutdown, waiting for the lease to lapse would leave resources idle for seconds.
test('should hand over at a planned shutdown without waiting for the lease to lapse', async (t) => {
  const { site, entries, holders } = competingEntries(['e1', 'e2']);
  await advanceUntil(site, () => holders().length > 0);
  await site.clock.advance(5000);
  const [formerOwner] = holders();
  const rival = entries.find(({ entry }) => entry.id !== formerOwner?.entry.id);
  if (!formerOwner || !rival) return t.fail('no entry owns the resource');
  const drained = formerOwner.entry.ownership.drain(new AbortController().signal);
  const waitedMs = await advanceUntil(site, () => rival.taken.length > 0);
  await advanceWhilePending(site, drained);
  t.true(waitedMs < 1000, `it took ${waitedMs} ms`);
  return t.deepEqual(formerOwner.released, [RESOURCE], 'the former owner released it first');
});

// Watches can hang while other calls are answered. An entry that relies on them alone would never
// notice that the owner is gone.
test('should replace a dead owner although the watches of the other entry are silent', async (t) => {
  const { site, entries, holders } = competingEntries(['e1', 'e2']);
  await advanceUntil(site, () => holders().length > 0);
  await site.clock.advance(3000);
  const [formerOwner] = holders();
  const rival = entries.find(({ entry }) => entry.id !== formerOwner?.entry.id);
  rival?.entry.link.lostAnswers.add('watch');
  formerOwner?.entry.kill();
  await advanceUntil(site, () => (rival?.taken.length ?? 0) > 0);
  t.deepEqual(
    holders().map(({ entry }) => entry.id),
    [rival?.entry.id],
  );
});

// Two entries that stop together must not hand resources to one another, or wait for each other.
test('should hand everything to the third of three entries when two stop at once', async (t) => {
  const names = Array.from({ length: 12 }, (_, index) => `partition/timaru/${index}`);
  const { site, entries } = competingEntries(['e1', 'e2', 'e3'], names);
  const held = (index: number): number =>
    names.filter((name) => entries[index]?.entry.ownership.grantOf(name)?.isCertain()).length;
  await advanceUntil(site, () => held(0) + held(1) + held(2) === names.length);
  await site.clock.advance(10_000);
  const { signal } = new AbortController();
  const drained = Promise.all(
    entries.slice(0, 2).map(({ entry }) => entry.ownership.drain(signal)),
  );
  const waitedMs = await advanceUntil(site, () => held(2) === names.length);
  await advanceWhilePending(site, drained);
  t.true(waitedMs < 2000, `it took ${waitedMs} ms`);
});

// Resources of a data centre without entries need an owner elsewhere, but only until an entry of
// the data centre is back.
test('should adopt the resources of a dead data centre, and hand them back later', async (t) => {
  const site = shardSite([]);
  const recording = [recordingHandler(), recordingHandler(), recordingHandler()];
  const make = (id: string, dataCentre: string, index: number) =>
    shardEntry(site, id, {
      dataCentre,
      handlers: [recording[index]?.handler ?? recordingHandler().handler],
    });
  const home = make('h1', 'timaru', 0);
  const away = make('a1', 'rakaia', 1);
  const owns = (entry: typeof home): boolean =>
    entry.ownership.grantOf(RESOURCE)?.isCertain() === true;
  await advanceUntil(site, () => owns(home));
  home.kill();
  await advanceUntil(site, () => owns(away));
  const returned = make('h2', 'timaru', 2);
  await advanceUntil(site, () => owns(returned));
  t.false(owns(away));
});

// A resource has no owner while it moves. Moving many, or many at once, would interrupt much work.
test('should move few resources when an entry joins, and a few at a time', async (t) => {
  const names = Array.from({ length: 40 }, (_, index) => `partition/timaru/${index}`);
  const { site, entries } = competingEntries(['e1', 'e2', 'e3'], names);
  const held = (entry: (typeof entries)[number]['entry']): number =>
    names.filter((name) => entry.ownership.grantOf(name)?.isCertain()).length;
  await advanceUntil(site, () => entries.reduce((sum, { entry }) => sum + held(entry), 0) === 40);
  await site.clock.advance(10_000);
  const recording = recordingHandler(names);
  const joined = shardEntry(site, 'e4', { handlers: [recording.handler] });
  let minimumHeld = 40;
  await advanceUntil(site, () => {
    const total = [...entries.map(({ entry }) => entry), joined].reduce(
      (sum, entry) => sum + held(entry),
      0,
    );
    minimumHeld = Math.min(minimumHeld, total);
    return held(joined) >= 4 && total === 40;
  });
  await site.clock.advance(10_000);
  t.true(minimumHeld >= 36, `${40 - minimumHeld} resources had no owner at the same time`);
  t.true(held(joined) <= 16, `${held(joined)} resources moved to the new entry`);
  const moved = entries.flatMap(({ released }) => released).length;
  t.is(moved, held(joined), 'no resource moves between the other entries');
});

// Both entries read that the resource has no owner before either writes.
test('should let exactly one of two concurrent compare-and-swaps acquire a resource', async (t) => {
  const site = shardSite([]);
  const swaps = await Promise.all(
    ['e1', 'e2'].map(async (id) => {
      const granted = await site.store.grantLease(5000, shortCall(site.clock));
      const lease = new Lease(granted.ok ? granted.val : '', site.clock, Infinity);
      return new OwnerKeys(site.store, site.clock, id).acquire(RESOURCE, 0, lease);
    }),
  );
  t.deepEqual(swaps.map(({ kind }) => kind).sort(), ['acquired', 'lost']);
});
