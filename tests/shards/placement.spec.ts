import test from 'ava';
import { FULL_OFFER } from 'samphirenotch-stand-ins/memoryWorker.js';

import { attemptOrder, shortCall, workerListing } from '../fixtures/platform.js';
import {
  violatedRules,
  placementRequest,
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
  type ShardSite,
} from '../fixtures/shardSite.js';

const HALF = { milliCores: 8000, memoryMb: 30_000, accelerators: 0 };
const WHOLE = { milliCores: 16_000, memoryMb: 60_000, accelerators: 0 };
const OFFER_WITHOUT_REFUSAL = { ...FULL_OFFER, refusesOlderEpochs: false };

const countStarts = (site: ShardSite, attemptId: string): number =>
  site.history.events.filter(
    (event) => event.kind === 'attempt-started' && event.attemptId === attemptId,
  ).length;

const runningAttempts = (site: ShardSite, workerId = 'w1'): readonly string[] => {
  const events = site.history.events.filter((event) => event.workerId === workerId);
  const ended = new Set(
    events.filter(({ kind }) => kind === 'attempt-ended').map(({ attemptId }) => attemptId),
  );
  return events
    .filter(({ kind, attemptId }) => kind === 'attempt-started' && !ended.has(attemptId))
    .map(({ attemptId }) => attemptId ?? '');
};

// Guards against reservations that exceed the capacity of a worker, and against a size that no
// worker can ever hold being refused as a temporary lack of room.
test('should reserve no more than the capacity of a worker', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  await reserveOrFail(site, entry, { attemptId: 'a1', declaredSize: HALF });
  await reserveOrFail(site, entry, { attemptId: 'a2', declaredSize: HALF });
  const more = await reserve(site, entry, { attemptId: 'a3' });
  t.like(more, { kind: 'refused', reason: 'no-room-now' });
  const tooLarge = { ...WHOLE, milliCores: 16_001 };
  const never = await reserve(site, entry, { attemptId: 'a4', declaredSize: tooLarge });
  t.like(never, { kind: 'refused', reason: 'never-fits' });
});

// Guards against attempts that use the capacity which services reserve for requests.
test('should keep the room that services set aside for requests', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  entry.configured.set = shardConfiguration([], HALF);
  await untilAcceptingWork(site, entry);
  await reserveOrFail(site, entry, { attemptId: 'a1', declaredSize: HALF });
  const more = await reserve(site, entry, { attemptId: 'a2' });
  t.like(more, { kind: 'refused', reason: 'no-room-now' });
});

for (const offer of [FULL_OFFER, OFFER_WITHOUT_REFUSAL]) {
  const kind = offer.refusesOlderEpochs ? 'refuse' : 'do not refuse';

  // Guards against an owner that is paused past its lease with a reservation in hand, and then
  // starts the attempt in room that the next owner has given out.
  test(`should not send a start in hand after a pause, to workers that ${kind} old epochs`, async (t) => {
    const site = shardSite([workerListing()], offer);
    const firstEntry = shardEntry(site, 'e1');
    await untilAcceptingWork(site, firstEntry);
    const reservation = await reserveOrFail(site, firstEntry, {
      attemptId: 'a1',
      declaredSize: WHOLE,
    });
    firstEntry.link.frozen = true;
    const secondEntry = shardEntry(site, 'e2');
    await untilAcceptingWork(site, secondEntry);
    const other = await reserveOrFail(site, secondEntry, { attemptId: 'a2', declaredSize: WHOLE });
    t.true((await startReserved(site, secondEntry, other, { attemptId: 'a2' })).ok);
    firstEntry.link.frozen = false;
    const lateStart = await advanceWhilePending(
      site,
      startReserved(site, firstEntry, reservation, { attemptId: 'a1' }),
    );
    t.is(lateStart.err && lateStart.val.effect, 'not-run');
    t.is(countStarts(site, 'a1'), 0);
    t.deepEqual(violatedRules(site), []);
  });
}

// Guards against an owner that is paused after it checked its ownership and before it sends the
// start: only the worker can then refuse the older epoch.
test('should be refused by the worker when it was paused between judging and sending', async (t) => {
  const site = shardSite();
  const firstEntry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, firstEntry);
  const reservation = await reserveOrFail(site, firstEntry, {
    attemptId: 'a1',
    declaredSize: WHOLE,
  });
  firstEntry.link.beforeSend.set('start', () => {
    firstEntry.link.frozen = true;
  });
  const lateStart = startReserved(site, firstEntry, reservation, { attemptId: 'a1' });
  const secondEntry = shardEntry(site, 'e2');
  await untilAcceptingWork(site, secondEntry);
  const other = await reserveOrFail(site, secondEntry, { attemptId: 'a2', declaredSize: WHOLE });
  await startReserved(site, secondEntry, other, { attemptId: 'a2' });
  firstEntry.link.frozen = false;
  const answer = await advanceWhilePending(site, lateStart);
  t.is(answer.err && answer.val.code, 'stale-epoch');
  t.is(countStarts(site, 'a1'), 0);
  t.deepEqual(violatedRules(site), []);
});

// Guards against a successor that gives out the room of an attempt whose start was carried out, but
// whose answer did not reach the crashed owner.
test('should count what a dead owner started, whose answer it never got', async (t) => {
  const site = shardSite();
  const firstEntry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, firstEntry);
  const reservation = await reserveOrFail(site, firstEntry, {
    attemptId: 'a1',
    declaredSize: HALF,
  });
  await reserveOrFail(site, firstEntry, { attemptId: 'a2', declaredSize: HALF });
  firstEntry.link.answerDelayMs = 500;
  const unanswered = startReserved(site, firstEntry, reservation, { attemptId: 'a1' });
  await site.clock.advance(100);
  firstEntry.kill();
  const successor = shardEntry(site, 'e2');
  await untilAcceptingWork(site, successor);
  await advanceWhilePending(site, unanswered);
  t.deepEqual(runningAttempts(site), ['a1'], 'leases of attempts outlast the change of owner');
  const tooMuch = await reserve(site, successor, { attemptId: 'a3', declaredSize: WHOLE });
  t.like(tooMuch, { kind: 'refused', reason: 'no-room-now' });
  const room = await reserveOrFail(site, successor, { attemptId: 'a4', declaredSize: HALF });
  t.is(room.workerId, 'w1', 'the reservation of the crashed owner uses no room');
});

// Guards against a new owner that uses a worker before it has its inventory, or takes an attempt of
// the former owner for ended by time alone.
test('should place nothing on a worker that the new owner has not reached', async (t) => {
  const site = shardSite([workerListing(), workerListing({ id: 'w2' })]);
  const firstEntry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, firstEntry);
  const excludedWorkers = ['w2'];
  const first = await reserveOrFail(site, firstEntry, {
    attemptId: 'a1',
    declaredSize: WHOLE,
    excludedWorkers,
  });
  await startReserved(site, firstEntry, first, { attemptId: 'a1' });
  const worker = site.workers.get('w1');
  if (!worker) return t.fail('no worker');
  worker.faults.silent = true;
  firstEntry.kill();
  const successor = shardEntry(site, 'e2');
  await advanceUntil(
    site,
    () => successor.handler.ownerOf(SHARD)?.worker('w2')?.owned.acceptsNewWork() === true,
  );
  const onlyFirst = { excludedWorkers: ['w2'], declaredSize: WHOLE };
  t.like(await reserve(site, successor, { attemptId: 'a2', ...onlyFirst }), {
    reason: 'no-room-now',
  });
  await site.clock.advance(60_000);
  t.like(await reserve(site, successor, { attemptId: 'a2', ...onlyFirst }), {
    reason: 'no-room-now',
  });
  const found = await advanceWhilePending(
    site,
    successor.local.find(SHARD, 'w1', 'a1', shortCall(site.clock)),
  );
  t.is(found.err && found.val.effect, 'unknown', 'the old owner may still renew it');
  worker.faults.silent = false;
  await advanceUntil(
    site,
    () => successor.handler.ownerOf(SHARD)?.worker('w1')?.owned.acceptsNewWork() === true,
  );
  const room = await reserve(site, successor, { attemptId: 'a2', ...onlyFirst });
  return t.like(room, { kind: 'reserved' });
});

// Guards against an overloaded worker: an attempt can use far more than its declared size.
test('should count what a task uses where its declared size is far too small', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const reservation = await reserveOrFail(site, entry, { attemptId: 'a1' });
  const uses = { milliCores: 15_500, memoryMb: 59_500, accelerators: 0 };
  const payload = JSON.stringify({ runMs: 3_600_000, uses });
  await entry.local.start(
    reservation,
    attemptOrder({ attemptId: 'a1', payload }),
    shortCall(site.clock),
  );
  const early = await reserveOrFail(site, entry, { attemptId: 'a2' });
  t.truthy(early, 'usage is reported late');
  await entry.local.cancelReservation(early);
  await site.clock.advance(6000);
  t.like(await reserve(site, entry, { attemptId: 'a3' }), { reason: 'no-room-now' });
});

// Guards against room that is given out twice, because an attempt whose start was not answered
// runs.
test('should chase a start that was not answered, and only then free its room', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const reservation = await reserveOrFail(site, entry, { attemptId: 'a1', declaredSize: WHOLE });
  const workerLink = entry.workerLinks.get('w1');
  workerLink?.lostAnswers.add('start').add('stop');
  const unansweredStart = await advanceWhilePending(
    site,
    startReserved(site, entry, reservation, { attemptId: 'a1' }),
  );
  t.is(unansweredStart.err && unansweredStart.val.effect, 'unknown');
  const tooMuch = await reserve(site, entry, { attemptId: 'a2', declaredSize: WHOLE });
  t.like(tooMuch, { reason: 'no-room-now' }, 'it may run');
  workerLink?.lostAnswers.clear();
  await advanceUntil(site, () => runningAttempts(site).length === 0);
  await site.clock.advance(2000);
  const room = await reserveOrFail(site, entry, { attemptId: 'a3', declaredSize: WHOLE });
  t.true((await startReserved(site, entry, room, { attemptId: 'a3' })).ok);
  t.deepEqual(violatedRules(site), []);
});

// Guards against a delayed start that arrives after the owner stopped the attempt and reported that
// it did not run.
test('should refuse a start that arrives after it was given up', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const reservation = await reserveOrFail(site, entry, { attemptId: 'a1', declaredSize: WHOLE });
  const worker = site.workers.get('w1');
  if (!worker) return t.fail('no worker');
  const workerLink = entry.workerLinks.get('w1');
  workerLink?.beforeSend.set('start', () => {
    workerLink.cut = true;
  });
  const starting = startReserved(site, entry, reservation, { attemptId: 'a1' });
  await site.clock.advance(100);
  workerLink?.beforeSend.clear();
  if (workerLink) workerLink.cut = false;
  const outcome = await advanceWhilePending(site, starting);
  t.is(outcome.err && outcome.val.effect, 'not-run');
  const order = attemptOrder({ attemptId: 'a1', size: WHOLE });
  const lateStart = await worker.start(reservation.epoch, order, shortCall(site.clock));
  t.true(lateStart.err, 'the worker was told to stop it before');
  return t.is(countStarts(site, 'a1'), 0);
});

// Guards against an attempt that runs although its job was told that it does not: the query comes
// between the reservation and the start.
test('should never start a reservation that its job has been told does not run', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const reservation = await reserveOrFail(site, entry, { attemptId: 'a1' });
  const found = await entry.local.find(SHARD, 'w1', 'a1', shortCall(site.clock));
  t.true(found.ok);
  t.is(found.val, undefined);
  const lateStart = await startReserved(site, entry, reservation, { attemptId: 'a1' });
  t.is(lateStart.err && lateStart.val.effect, 'not-run');
  t.like(await reserve(site, entry, { attemptId: 'a1' }), { kind: 'refused' });
  t.is(countStarts(site, 'a1'), 0);
});

// Guards against two starts, or two reservations, when the caller repeats its calls.
test('should start an attempt once even if the start is requested twice', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const reservation = await reserveOrFail(site, entry, { attemptId: 'a1' });
  t.deepEqual(await reserveOrFail(site, entry, { attemptId: 'a1' }), reservation);
  const both = await Promise.all([
    startReserved(site, entry, reservation, { attemptId: 'a1' }),
    startReserved(site, entry, reservation, { attemptId: 'a1' }),
  ]);
  t.true(both.every(({ ok }) => ok));
  t.is(countStarts(site, 'a1'), 1);
  t.is(placementRequest().attemptId, 'a1');
});

// Guards against a second start call to the worker when the caller repeats its start after the
// first one was answered: the outcome of the first start must outlast the update of the attempt.
test('should return the outcome of an answered start when the start is repeated', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const reservation = await reserveOrFail(site, entry, { attemptId: 'a1' });
  let startCalls = 0;
  entry.workerLinks.get('w1')?.beforeSend.set('start', () => {
    startCalls += 1;
  });
  const first = await startReserved(site, entry, reservation, { attemptId: 'a1' });
  t.like(first.ok && first.val, { phase: 'running' });
  const repeated = await startReserved(site, entry, reservation, { attemptId: 'a1' });
  t.is(startCalls, 1);
  t.is(repeated, first);
});
