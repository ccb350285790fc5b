import test from 'ava';
import { FULL_OFFER } from 'samphirenotch-stand-ins/memoryWorker.js';
import { LAPSE_MS, START_FRESHNESS_MS, TASK_LEASE_MS } from 'samphirenotch/shards/taskLease.js';

import { shortCall, workerListing } from '../fixtures/platform.js';
import {
  brokenRules,
  reserve,
  reserved,
  SHARD,
  shardConfiguration,
  shardEntry,
  shardSite,
  startIn,
  until,
  untilOpen,
  whileTimeMoves,
  type ShardEntry,
  type ShardSite,
} from '../fixtures/shardSite.js';

const WHOLE = { milliCores: 16_000, memoryMb: 60_000, accelerators: 0 };
const OFFER_WITHOUT_REFUSAL = { ...FULL_OFFER, refusesOlderEpochs: false };
const WISH = { service: 'spot-desk', taskClass: 'price-check', excludedWorkers: [] };

const isRunning = (site: ShardSite, attemptId: string): boolean => {
  site.workers.forEach((worker) => worker.advance());
  const events = site.history.events.filter((event) => event.attemptId === attemptId);
  return (
    events.some(({ kind }) => kind === 'attempt-started') &&
    !events.some(({ kind }) => kind === 'attempt-ended')
  );
};

const untilOwned = (site: ShardSite, entry: ShardEntry): Promise<number> =>
  until(site, () => entry.ownership.grantOf(SHARD)?.isCertain() === true);

const lostGrant = (entry: ShardEntry): boolean => entry.handler.ownerOf(SHARD) === undefined;

test('should go on through an outage where workers refuse older epochs, until one is claimed', async (t) => {
  const site = shardSite();
  const old = shardEntry(site, 'e1');
  await untilOpen(site, old);
  const rival = shardEntry(site, 'e2');
  await site.clock.advance(2000);
  site.store.faults.down = true;
  await site.clock.advance(20_000);
  const first = await reserved(site, old, { attemptId: 'a1', declaredSize: WHOLE });
  t.true((await startIn(site, old, first, { attemptId: 'a1' })).ok, 'goes on in the outage');
  t.true(old.slots.takeSlot(WISH)?.maySend());
  const stopped = await old.local.stop(SHARD, 'w1', 'a1', false, shortCall(site.clock));
  t.true(stopped.ok);
  const inHand = await reserved(site, old, { attemptId: 'a2', declaredSize: WHOLE });
  old.link.frozen = true;
  site.store.faults.down = false;
  await untilOpen(site, rival);
  const other = await reserved(site, rival, { attemptId: 'a3', declaredSize: WHOLE });
  t.true((await startIn(site, rival, other, { attemptId: 'a3' })).ok);
  old.link.frozen = false;
  const late = await whileTimeMoves(site, startIn(site, old, inHand, { attemptId: 'a2' }));
  t.is(late.err && late.val.code, 'stale-epoch', 'the worker decides, not the clock');
  const more = await reserve(site, old, { attemptId: 'a4' });
  t.false('kind' in more && more.kind === 'reserved');
  t.deepEqual(brokenRules(site), []);
});

test('should stop at the lapse of its lease where workers do not refuse older epochs', async (t) => {
  const site = shardSite([workerListing()], OFFER_WITHOUT_REFUSAL);
  const old = shardEntry(site, 'e1');
  await untilOpen(site, old);
  const inHand = await reserved(site, old, { attemptId: 'a1', declaredSize: WHOLE });
  const slot = old.slots.takeSlot(WISH);
  t.true(slot?.maySend());
  site.store.faults.down = true;
  await site.clock.advance(6000);
  t.false(slot?.maySend());
  const late = await startIn(site, old, inHand, { attemptId: 'a1' });
  t.is(late.err && late.val.effect, 'not-run');
  const rival = shardEntry(site, 'e2');
  old.link.cut = true;
  site.store.faults.down = false;
  await untilOpen(site, rival);
  const other = await reserved(site, rival, { attemptId: 'a2', declaredSize: WHOLE });
  t.true((await startIn(site, rival, other, { attemptId: 'a2' })).ok);
  old.link.cut = false;
  await until(site, () => lostGrant(old));
  t.deepEqual(brokenRules(site), []);
});

test('should wait for late starts of the owner before where workers do not refuse them', async (t) => {
  const site = shardSite([workerListing()], OFFER_WITHOUT_REFUSAL);
  const old = shardEntry(site, 'e1');
  await untilOpen(site, old);
  const inHand = await reserved(site, old, { attemptId: 'a1', declaredSize: WHOLE });
  old.kill();
  const successor = shardEntry(site, 'e2');
  await until(
    site,
    () => successor.handler.ownerOf(SHARD)?.worker('w1')?.owned.isClaimed() === true,
  );
  t.like(await reserve(site, successor, { attemptId: 'a2', declaredSize: WHOLE }), {
    reason: 'no-room-now',
  });
  const worker = site.workers.get('w1');
  const { epoch, size } = inHand;
  const order = { attemptId: 'a1', jobId: 'j1', partition: 'p', taskClass: 'settlement' };
  const late = { ...order, tenant: 'desk', size, payload: '{"runMs":900000}', leaseMs: 12_000 };
  await worker?.start(epoch, late, shortCall(site.clock));
  await untilOpen(site, successor);
  t.like(
    await reserve(site, successor, { attemptId: 'a2', declaredSize: WHOLE }),
    { reason: 'no-room-now' },
    'the late start is counted',
  );
});

test('should start nothing on a configuration that was not confirmed lately', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilOpen(site, entry);
  entry.configured.confirmedAtMs = site.clock.monotonicMs();
  const inHand = await reserved(site, entry, { attemptId: 'a1' });
  await site.clock.advance(START_FRESHNESS_MS + 1);
  const late = await startIn(site, entry, inHand, { attemptId: 'a1' });
  t.is(late.err && late.val.message.includes('configuration-stale'), true);
  t.is(late.err && late.val.effect, 'not-run');
  t.like(await reserve(site, entry, { attemptId: 'a2' }), { reason: 'configuration-stale' });
  t.true(entry.slots.takeSlot(WISH)?.maySend(), 'requests go on');
});

test('should start nothing in a data centre that was taken out', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilOpen(site, entry);
  const inHand = await reserved(site, entry, { attemptId: 'a1' });
  const slot = entry.slots.takeSlot(WISH);
  entry.configured.set = shardConfiguration(['timaru']);
  const late = await startIn(site, entry, inHand, { attemptId: 'a1' });
  t.is(late.err && late.val.effect, 'not-run');
  t.like(await reserve(site, entry, { attemptId: 'a2' }), { reason: 'data-centre-out' });
  t.false(slot?.maySend());
  t.is(entry.slots.takeSlot(WISH), undefined);
  entry.configured.set = shardConfiguration();
  t.like(await reserve(site, entry, { attemptId: 'a3' }), { kind: 'reserved' });
});

test('should give no new work to a worker that says it leaves while the list lags', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilOpen(site, entry);
  const inHand = await reserved(site, entry, { attemptId: 'a1' });
  const slot = entry.slots.takeSlot(WISH);
  const worker = site.workers.get('w1');
  if (worker) worker.faults.leaving = true;
  const waitedMs = await until(site, () => entry.slots.freeSlots() === 0, 5000);
  t.true(waitedMs <= 2000, `it took ${waitedMs} ms`);
  t.false(slot?.maySend(), 'a slot taken before is not used any more');
  t.like(await reserve(site, entry, { attemptId: 'a2' }), { reason: 'no-room-now' });
  t.true((await startIn(site, entry, inHand, { attemptId: 'a1' })).err);
});

test('should give no new work to a worker that the list says leaves, or no longer has', async (t) => {
  const site = shardSite([workerListing(), workerListing({ id: 'w2' })]);
  const entry = shardEntry(site, 'e1');
  await untilOpen(site, entry);
  const room = await reserved(site, entry, { attemptId: 'a1', excludedWorkers: ['w2'] });
  await startIn(site, entry, room, { attemptId: 'a1' });
  site.listings = [workerListing({ id: 'w2', leaving: true })];
  await site.clock.advance(2000);
  t.is(entry.slots.takeSlot(WISH), undefined);
  t.like(await reserve(site, entry, { attemptId: 'a2' }), { reason: 'no-room-now' });
  await site.clock.advance(60_000);
  t.true(isRunning(site, 'a1'), 'what ran there goes on, under renewed leases');
});

test('should give no new work to a worker that went silent', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilOpen(site, entry);
  const worker = site.workers.get('w1');
  if (worker) worker.faults.silent = true;
  await site.clock.advance(5000);
  t.is(entry.slots.takeSlot(WISH), undefined);
  t.like(await reserve(site, entry, { attemptId: 'a1' }), { reason: 'no-room-now' });
  if (worker) worker.faults.silent = false;
  await untilOpen(site, entry);
  t.like(await reserve(site, entry, { attemptId: 'a1' }), { kind: 'reserved' });
});

test('should hand a shard over with starts half done, and lose none of them', async (t) => {
  const site = shardSite();
  const old = shardEntry(site, 'e1');
  await untilOpen(site, old);
  const successor = shardEntry(site, 'e2');
  await site.clock.advance(3000);
  const room = await reserved(site, old, { attemptId: 'a1', declaredSize: WHOLE });
  const unused = old.slots.takeSlot(WISH);
  old.link.answerDelayMs = 300;
  const starting = startIn(site, old, room, { attemptId: 'a1' });
  await site.clock.advance(50);
  const drained = old.ownership.drain(new AbortController().signal);
  const waitedMs = await untilOpen(site, successor);
  t.true(waitedMs < 2500, `it took ${waitedMs} ms`);
  t.true((await whileTimeMoves(site, starting)).ok);
  await whileTimeMoves(site, drained);
  t.false(unused?.maySend());
  t.like(await reserve(site, successor, { attemptId: 'a2' }), { reason: 'no-room-now' });
  await whileTimeMoves(site, old.stop());
  await site.clock.advance(60_000);
  t.true(isRunning(site, 'a1'));
  t.deepEqual(brokenRules(site), []);
});

test('should renew by the class what the owner of its job does not hear of', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilOpen(site, entry);
  const wishes = [
    { attemptId: 'keeps', jobId: 'j1', taskClass: 'settlement' },
    { attemptId: 'restarts', jobId: 'j2', taskClass: 'plan' },
  ];
  for (const wish of wishes) {
    const room = await reserved(site, entry, wish);
    t.true((await startIn(site, entry, room, wish)).ok);
  }
  await site.clock.advance(60_000);
  t.true(isRunning(site, 'keeps') && isRunning(site, 'restarts'));
  entry.sinkLink.cut = true;
  await site.clock.advance(60_000);
  t.true(isRunning(site, 'keeps'));
  t.false(isRunning(site, 'restarts'));
});

test('should conclude that an attempt lapsed only while nobody else can have renewed it', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilOpen(site, entry);
  const room = await reserved(site, entry, { attemptId: 'a1' });
  await startIn(site, entry, room, { attemptId: 'a1' });
  const worker = site.workers.get('w1');
  if (worker) worker.faults.silent = true;
  site.store.faults.down = true;
  await site.clock.advance(LAPSE_MS + 10_000);
  const lapsed = () => entry.reports.filter(({ phase }) => phase === 'lapsed');
  t.deepEqual(lapsed(), [], 'a rival may have claimed the worker');
  site.store.faults.down = false;
  await untilOwned(site, entry);
  t.deepEqual(lapsed(), [], 'the owner is a new one');
});

test('should report an attempt as lapsed when its worker died and its lease is over', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilOpen(site, entry);
  const room = await reserved(site, entry, { attemptId: 'a1' });
  await startIn(site, entry, room, { attemptId: 'a1' });
  const worker = site.workers.get('w1');
  if (worker) worker.faults.silent = true;
  const lapsed = () => entry.reports.some(({ phase }) => phase === 'lapsed');
  const waitedMs = await until(site, lapsed);
  t.true(waitedMs >= TASK_LEASE_MS, `it was concluded after ${waitedMs} ms`);
  t.false(isRunning(site, 'a1'), 'by the word of the worker too');
});

test('should reach a replaced worker at its new address, once the old one holds nothing', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilOpen(site, entry);
  const room = await reserved(site, entry, { attemptId: 'a1' });
  await startIn(site, entry, room, { attemptId: 'a1' });
  const before = entry.handler.ownerOf(SHARD)?.worker('w1')?.owned;
  site.listings = [workerListing({ address: '127.0.0.1:2' })];
  await site.clock.advance(5000);
  t.is(entry.handler.ownerOf(SHARD)?.worker('w1')?.owned, before, 'the list may be wrong');
  const worker = site.workers.get('w1');
  if (worker) worker.faults.silent = true;
  await until(site, () => entry.handler.ownerOf(SHARD)?.worker('w1')?.owned !== before);
  t.false(isRunning(site, 'a1'), 'its lease was over before');
  if (worker) worker.faults.silent = false;
  await untilOpen(site, entry);
  t.is(entry.handler.ownerOf(SHARD)?.worker('w1')?.owned.address, '127.0.0.1:2');
});

test('should count a slot as busy after silence, until the worker shows that it is free', async (t) => {
  const site = shardSite([workerListing({ slots: 1 })]);
  const entry = shardEntry(site, 'e1');
  await untilOpen(site, entry);
  entry.slots.takeSlot(WISH)?.release({ kind: 'silent', latencyMs: 1000 });
  t.is(entry.slots.takeSlot(WISH), undefined);
  await site.clock.advance(1100);
  t.truthy(entry.slots.takeSlot(WISH));
});

test('should go on with the workers it knows when the list comes back empty', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilOpen(site, entry);
  site.listings = [];
  await site.clock.advance(10_000);
  t.truthy(entry.slots.takeSlot(WISH));
  t.like(await reserve(site, entry, { attemptId: 'a1' }), { kind: 'reserved' });
});

test('should know from its first inventory that a worker leaves, when the entry is a new one', async (t) => {
  const site = shardSite();
  const old = shardEntry(site, 'e1');
  await untilOpen(site, old);
  const worker = site.workers.get('w1');
  if (worker) worker.faults.leaving = true;
  old.kill();
  const entry = shardEntry(site, 'e2');
  await until(site, () => entry.handler.ownerOf(SHARD)?.worker('w1')?.owned.isClaimed() === true);
  t.is(entry.slots.takeSlot(WISH), undefined);
  t.like(await reserve(site, entry, { attemptId: 'a1' }), { reason: 'no-room-now' });
});
