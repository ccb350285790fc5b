import test from 'ava';
import { FULL_OFFER } from 'samphirenotch-stand-ins/memoryWorker.js';
import {
  FOREIGN_RENEWAL_EXPIRY_MS,
  MAXIMUM_START_CONFIGURATION_AGE_MS,
  TASK_LEASE_MS,
} from 'samphirenotch/shards/taskLease.js';

import { shortCall, workerListing } from '../fixtures/platform.js';
import {
  violatedRules,
  reserve,
  reserveOrFail,
  SHARD,
  shardConfiguration,
  shardEntry,
  shardSite,
  startReserved,
  advanceUntil,
  untilAcceptingWork,
  advanceWhilePending,
  type ShardEntry,
  type ShardSite,
} from '../fixtures/shardSite.js';

const WHOLE = { milliCores: 16_000, memoryMb: 60_000, accelerators: 0 };
const OFFER_WITHOUT_REFUSAL = { ...FULL_OFFER, refusesOlderEpochs: false };
const SLOT_REQUEST = { service: 'spot-desk', taskClass: 'price-check', excludedWorkers: [] };

const isRunning = (site: ShardSite, attemptId: string): boolean => {
  site.workers.forEach((worker) => worker.advance());
  const events = site.history.events.filter((event) => event.attemptId === attemptId);
  return (
    events.some(({ kind }) => kind === 'attempt-started') &&
    !events.some(({ kind }) => kind === 'attempt-ended')
  );
};

const untilOwned = (site: ShardSite, entry: ShardEntry): Promise<number> =>
  advanceUntil(site, () => entry.ownership.grantOf(SHARD)?.isCertain() === true);

const isShardReleased = (entry: ShardEntry): boolean => entry.handler.ownerOf(SHARD) === undefined;

// Guards against an owner that stops working during an outage of the store although its workers
// refuse older epochs, and against a paused owner that still starts attempts after a successor
// claimed the worker.
test('should go on through an outage where workers refuse older epochs, until one is claimed', async (t) => {
  const site = shardSite();
  const firstEntry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, firstEntry);
  const secondEntry = shardEntry(site, 'e2');
  await site.clock.advance(2000);
  site.store.faults.down = true;
  await site.clock.advance(20_000);
  const first = await reserveOrFail(site, firstEntry, { attemptId: 'a1', declaredSize: WHOLE });
  t.true(
    (await startReserved(site, firstEntry, first, { attemptId: 'a1' })).ok,
    'the owner goes on during the outage',
  );
  t.true(firstEntry.slots.takeSlot(SLOT_REQUEST)?.maySend());
  const stopped = await firstEntry.local.stop(SHARD, 'w1', 'a1', false, shortCall(site.clock));
  t.true(stopped.ok);
  const reservation = await reserveOrFail(site, firstEntry, {
    attemptId: 'a2',
    declaredSize: WHOLE,
  });
  firstEntry.link.frozen = true;
  site.store.faults.down = false;
  await untilAcceptingWork(site, secondEntry);
  const other = await reserveOrFail(site, secondEntry, { attemptId: 'a3', declaredSize: WHOLE });
  t.true((await startReserved(site, secondEntry, other, { attemptId: 'a3' })).ok);
  firstEntry.link.frozen = false;
  const late = await advanceWhilePending(
    site,
    startReserved(site, firstEntry, reservation, { attemptId: 'a2' }),
  );
  t.is(
    late.err && late.val.code,
    'stale-epoch',
    'refused by the worker, not by the clock of the owner',
  );
  const more = await reserve(site, firstEntry, { attemptId: 'a4' });
  t.false('kind' in more && more.kind === 'reserved');
  t.deepEqual(violatedRules(site), []);
});

// Guards against two owners that use the same room. Workers that accept older epochs cannot refuse
// the former owner, so it must stop by the clock when its lease expires.
test('should stop at the lapse of its lease where workers do not refuse older epochs', async (t) => {
  const site = shardSite([workerListing()], OFFER_WITHOUT_REFUSAL);
  const firstEntry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, firstEntry);
  const reservation = await reserveOrFail(site, firstEntry, {
    attemptId: 'a1',
    declaredSize: WHOLE,
  });
  const slot = firstEntry.slots.takeSlot(SLOT_REQUEST);
  t.true(slot?.maySend());
  site.store.faults.down = true;
  await site.clock.advance(6000);
  t.false(slot?.maySend());
  const late = await startReserved(site, firstEntry, reservation, { attemptId: 'a1' });
  t.is(late.err && late.val.effect, 'not-run');
  const secondEntry = shardEntry(site, 'e2');
  firstEntry.link.cut = true;
  site.store.faults.down = false;
  await untilAcceptingWork(site, secondEntry);
  const other = await reserveOrFail(site, secondEntry, { attemptId: 'a2', declaredSize: WHOLE });
  t.true((await startReserved(site, secondEntry, other, { attemptId: 'a2' })).ok);
  firstEntry.link.cut = false;
  await advanceUntil(site, () => isShardReleased(firstEntry));
  t.deepEqual(violatedRules(site), []);
});

// Guards against room that is given out twice: a start of a crashed owner can arrive after the
// successor has claimed the worker, if the worker accepts older epochs.
test('should wait for late starts of the owner before where workers do not refuse them', async (t) => {
  const site = shardSite([workerListing()], OFFER_WITHOUT_REFUSAL);
  const firstEntry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, firstEntry);
  const reservation = await reserveOrFail(site, firstEntry, {
    attemptId: 'a1',
    declaredSize: WHOLE,
  });
  firstEntry.kill();
  const successor = shardEntry(site, 'e2');
  await advanceUntil(
    site,
    () => successor.handler.ownerOf(SHARD)?.worker('w1')?.owned.isClaimed() === true,
  );
  t.like(await reserve(site, successor, { attemptId: 'a2', declaredSize: WHOLE }), {
    reason: 'no-room-now',
  });
  const worker = site.workers.get('w1');
  const { epoch, size } = reservation;
  const order = { attemptId: 'a1', jobId: 'j1', partition: 'p', taskClass: 'settlement' };
  const late = { ...order, tenant: 'desk', size, payload: '{"runMs":900000}', leaseMs: 12_000 };
  await worker?.start(epoch, late, shortCall(site.clock));
  await untilAcceptingWork(site, successor);
  t.like(
    await reserve(site, successor, { attemptId: 'a2', declaredSize: WHOLE }),
    { reason: 'no-room-now' },
    'the late start is counted',
  );
});

// Guards against starts under an outdated configuration, when this entry is cut off from its
// source. Requests do not need a recently confirmed configuration.
test('should start nothing on a configuration that was not confirmed lately', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  entry.configured.confirmedAtMs = site.clock.monotonicMs();
  const reservation = await reserveOrFail(site, entry, { attemptId: 'a1' });
  await site.clock.advance(MAXIMUM_START_CONFIGURATION_AGE_MS + 1);
  const late = await startReserved(site, entry, reservation, { attemptId: 'a1' });
  t.is(late.err && late.val.message.includes('configuration-stale'), true);
  t.is(late.err && late.val.effect, 'not-run');
  t.like(await reserve(site, entry, { attemptId: 'a2' }), { reason: 'configuration-stale' });
  t.true(entry.slots.takeSlot(SLOT_REQUEST)?.maySend(), 'requests go on');
});

// Guards against starts and requests sent to a data centre after the configuration took it out,
// with a reservation or a slot that was obtained before.
test('should start nothing in a data centre that was taken out', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const reservation = await reserveOrFail(site, entry, { attemptId: 'a1' });
  const slot = entry.slots.takeSlot(SLOT_REQUEST);
  entry.configured.set = shardConfiguration(['timaru']);
  const late = await startReserved(site, entry, reservation, { attemptId: 'a1' });
  t.is(late.err && late.val.effect, 'not-run');
  t.like(await reserve(site, entry, { attemptId: 'a2' }), { reason: 'data-centre-out' });
  t.false(slot?.maySend());
  t.is(entry.slots.takeSlot(SLOT_REQUEST), undefined);
  entry.configured.set = shardConfiguration();
  t.like(await reserve(site, entry, { attemptId: 'a3' }), { kind: 'reserved' });
});

// Guards against work sent to a worker that has announced that it leaves, because the platform's
// list does not show it yet.
test('should give no new work to a worker that says it leaves while the list lags', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const reservation = await reserveOrFail(site, entry, { attemptId: 'a1' });
  const slot = entry.slots.takeSlot(SLOT_REQUEST);
  const worker = site.workers.get('w1');
  if (worker) worker.faults.leaving = true;
  const waitedMs = await advanceUntil(site, () => entry.slots.freeSlots() === 0, 5000);
  t.true(waitedMs <= 2000, `it took ${waitedMs} ms`);
  t.false(slot?.maySend(), 'a slot taken before is not used any more');
  t.like(await reserve(site, entry, { attemptId: 'a2' }), { reason: 'no-room-now' });
  t.true((await startReserved(site, entry, reservation, { attemptId: 'a1' })).err);
});

// Guards against new work on a worker that the list shows as leaving or no longer contains, and
// against a renewal that ends too early: attempts that run there must be renewed.
test('should give no new work to a worker that the list says leaves, or no longer has', async (t) => {
  const site = shardSite([workerListing(), workerListing({ id: 'w2' })]);
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const room = await reserveOrFail(site, entry, { attemptId: 'a1', excludedWorkers: ['w2'] });
  await startReserved(site, entry, room, { attemptId: 'a1' });
  site.listings = [workerListing({ id: 'w2', leaving: true })];
  await site.clock.advance(2000);
  t.is(entry.slots.takeSlot(SLOT_REQUEST), undefined);
  t.like(await reserve(site, entry, { attemptId: 'a2' }), { reason: 'no-room-now' });
  await site.clock.advance(60_000);
  t.true(isRunning(site, 'a1'), 'running attempts are still renewed');
});

// Guards against new work on a worker that has stopped answering, and against a worker that is
// never used again after it answers.
test('should give no new work to a worker that went silent', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const worker = site.workers.get('w1');
  if (worker) worker.faults.silent = true;
  await site.clock.advance(5000);
  t.is(entry.slots.takeSlot(SLOT_REQUEST), undefined);
  t.like(await reserve(site, entry, { attemptId: 'a1' }), { reason: 'no-room-now' });
  if (worker) worker.faults.silent = false;
  await untilAcceptingWork(site, entry);
  t.like(await reserve(site, entry, { attemptId: 'a1' }), { kind: 'reserved' });
});

// Guards against attempts that are lost or started twice, or room that is given out twice, when a
// shard is handed over before the worker has answered a start.
test('should hand a shard over with starts half done, and lose none of them', async (t) => {
  const site = shardSite();
  const firstEntry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, firstEntry);
  const successor = shardEntry(site, 'e2');
  await site.clock.advance(3000);
  const room = await reserveOrFail(site, firstEntry, { attemptId: 'a1', declaredSize: WHOLE });
  const unused = firstEntry.slots.takeSlot(SLOT_REQUEST);
  firstEntry.link.answerDelayMs = 300;
  const starting = startReserved(site, firstEntry, room, { attemptId: 'a1' });
  await site.clock.advance(50);
  const drained = firstEntry.ownership.drain(new AbortController().signal);
  const waitedMs = await untilAcceptingWork(site, successor);
  t.true(waitedMs < 2500, `it took ${waitedMs} ms`);
  t.true((await advanceWhilePending(site, starting)).ok);
  await advanceWhilePending(site, drained);
  t.false(unused?.maySend());
  t.like(await reserve(site, successor, { attemptId: 'a2' }), { reason: 'no-room-now' });
  await advanceWhilePending(site, firstEntry.stop());
  await site.clock.advance(60_000);
  t.true(isRunning(site, 'a1'));
  t.deepEqual(violatedRules(site), []);
});

// Guards against attempts that keep running while their job's owner restarts them elsewhere, and
// against the loss of attempts whose class says that they keep running during a network partition.
test('should renew attempts whose reports are not accepted only for classes that are kept running', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const requests = [
    { attemptId: 'keeps', jobId: 'j1', taskClass: 'settlement' },
    { attemptId: 'restarts', jobId: 'j2', taskClass: 'plan' },
  ];
  for (const request of requests) {
    const room = await reserveOrFail(site, entry, request);
    t.true((await startReserved(site, entry, room, request)).ok);
  }
  await site.clock.advance(60_000);
  t.true(isRunning(site, 'keeps') && isRunning(site, 'restarts'));
  entry.sinkLink.cut = true;
  await site.clock.advance(60_000);
  t.true(isRunning(site, 'keeps'));
  t.false(isRunning(site, 'restarts'));
});

// Guards against a false report that an attempt lapsed: while this entry cannot prove that it still
// owns the shard, another owner may have renewed the attempt.
test('should conclude that an attempt lapsed only while nobody else can have renewed it', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const room = await reserveOrFail(site, entry, { attemptId: 'a1' });
  await startReserved(site, entry, room, { attemptId: 'a1' });
  const worker = site.workers.get('w1');
  if (worker) worker.faults.silent = true;
  site.store.faults.down = true;
  await site.clock.advance(FOREIGN_RENEWAL_EXPIRY_MS + 10_000);
  const lapsed = () => entry.reports.filter(({ phase }) => phase === 'lapsed');
  t.deepEqual(lapsed(), [], 'another owner may have claimed the worker');
  site.store.faults.down = false;
  await untilOwned(site, entry);
  t.deepEqual(lapsed(), [], 'the owner is a new one');
});

// Guards against a lapse that is reported before the lease is over, while the attempt may still run
// on a worker that does not answer.
test('should report an attempt as lapsed when its worker died and its lease is over', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const room = await reserveOrFail(site, entry, { attemptId: 'a1' });
  await startReserved(site, entry, room, { attemptId: 'a1' });
  const worker = site.workers.get('w1');
  if (worker) worker.faults.silent = true;
  const lapsed = () => entry.reports.some(({ phase }) => phase === 'lapsed');
  const waitedMs = await advanceUntil(site, lapsed);
  t.true(waitedMs >= TASK_LEASE_MS, `it was concluded after ${waitedMs} ms`);
  t.false(isRunning(site, 'a1'), 'it does not run at the worker either');
});

// Guards against an owner that keeps using the old address of a replaced worker, and against one
// that drops a running worker because the list is wrong for a while.
test('should reach a replaced worker at its new address, once the old one holds nothing', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const room = await reserveOrFail(site, entry, { attemptId: 'a1' });
  await startReserved(site, entry, room, { attemptId: 'a1' });
  const before = entry.handler.ownerOf(SHARD)?.worker('w1')?.owned;
  site.listings = [workerListing({ address: '127.0.0.1:2' })];
  await site.clock.advance(5000);
  t.is(entry.handler.ownerOf(SHARD)?.worker('w1')?.owned, before, 'the list may be wrong');
  const worker = site.workers.get('w1');
  if (worker) worker.faults.silent = true;
  await advanceUntil(site, () => entry.handler.ownerOf(SHARD)?.worker('w1')?.owned !== before);
  t.false(isRunning(site, 'a1'), 'its lease had expired before');
  if (worker) worker.faults.silent = false;
  await untilAcceptingWork(site, entry);
  t.is(entry.handler.ownerOf(SHARD)?.worker('w1')?.owned.address, '127.0.0.1:2');
});

// Guards against a worker that gets more requests than it has slots, because a request that was not
// answered still runs.
test('should count a slot as busy after silence, until the worker shows that it is free', async (t) => {
  const site = shardSite([workerListing({ slots: 1 })]);
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  entry.slots.takeSlot(SLOT_REQUEST)?.release({ kind: 'silent', latencyMs: 1000 });
  t.is(entry.slots.takeSlot(SLOT_REQUEST), undefined);
  await site.clock.advance(1100);
  t.truthy(entry.slots.takeSlot(SLOT_REQUEST));
});

// Guards against an owner that drops all workers because the platform's list is empty by mistake.
test('should go on with the workers it knows when the list comes back empty', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  site.listings = [];
  await site.clock.advance(10_000);
  t.truthy(entry.slots.takeSlot(SLOT_REQUEST));
  t.like(await reserve(site, entry, { attemptId: 'a1' }), { kind: 'reserved' });
});

// Guards against a new owner that sends work to a leaving worker before the first heartbeat.
test('should know from its first inventory that a worker leaves, when the entry is a new one', async (t) => {
  const site = shardSite();
  const firstEntry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, firstEntry);
  const worker = site.workers.get('w1');
  if (worker) worker.faults.leaving = true;
  firstEntry.kill();
  const entry = shardEntry(site, 'e2');
  await advanceUntil(
    site,
    () => entry.handler.ownerOf(SHARD)?.worker('w1')?.owned.isClaimed() === true,
  );
  t.is(entry.slots.takeSlot(SLOT_REQUEST), undefined);
  t.like(await reserve(site, entry, { attemptId: 'a1' }), { reason: 'no-room-now' });
});
