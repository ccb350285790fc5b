/**
 * Age of an entry's view and silence of the store. An entry that was late itself, e.g. paused with
 * its VM, must not take its own delay for silence of the store.
 */
import test from 'ava';
import { StoreFollower, type StoreListener } from 'samphirenotch/jobs/store/storeFollower.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';
import { MemoryStoreData, MemoryTransactionStore } from '../fixtures/memoryTransactionStore.js';

const ID = '00000000000000a1';

/** Highest age of a view that its users accept, in milliseconds. */
const ACCEPTED_AGE_MS = 2_000;

// Guards against refusing callers because the entry, not the store, was paused.
test('should accept a job after the entry was late while the store works', async (t) => {
  const { site, owner } = await makeOwnedSite();
  await site.run(1_000);
  site.clock.jump(2_100);
  t.is(await site.submit(owner, ID, makeJob(makeStep())), 'done');
});

// Guards against an entry that reports itself as not ready to the load balancer after a pause.
test('should stay ready after the entry was late while the store works', async (t) => {
  const { site, owner } = await makeOwnedSite();
  await site.run(1_000);
  site.clock.jump(2_100);
  t.true(owner.entry.isReady());
});

// Guards against callers that wait during an outage of the store.
test('should refuse jobs and not be ready once the store has not answered for 2 s', async (t) => {
  const { site, owner } = await makeOwnedSite();
  await site.run(1_000);
  owner.store.isCutOff = true;
  await site.run(700);
  t.true(owner.entry.isReady());
  await site.run(1_350);
  t.false(owner.entry.isReady());
  const sentMs = site.clock.monotonicMs();
  t.is(await site.submit(owner, ID, makeJob(makeStep())), 'refused');
  t.true(site.clock.monotonicMs() - sentMs <= 5);
  owner.store.isCutOff = false;
  await site.run(2_000);
  t.true(owner.entry.isReady());
});

/** Follows a store without changes. */
const follow = () => {
  const clock = new ManualClock();
  const data = new MemoryStoreData(clock);
  let answers = 0;
  const ignore = (): void => undefined;
  const onCaughtUp = (): void => {
    answers += 1;
  };
  const listener: StoreListener = { onListing: ignore, onChange: ignore, onCaughtUp };
  const store = new MemoryTransactionStore(data);
  const follower = new StoreFollower(store, 'p/', listener, clock);
  const ended = new AbortController();
  const running = follower.run(ended.signal);
  const end = async (): Promise<void> => {
    ended.abort();
    await clock.advance(2_000);
    await running;
  };
  return { clock, data, store, follower, answers: () => answers, end };
};

// Guards against old counts of waiting jobs reported as new because their answer was read just now.
test('should count the age of a view from when its call was sent', async (t) => {
  const { clock, data, follower, answers, end } = follow();
  await clock.advance(100);
  data.put('p/a', '1');
  // The answer has arrived but is read only after the jump.
  clock.jump(2_500);
  await clock.advance(0);
  t.is(answers(), 2);
  t.true(follower.viewAgeMs() >= 2_500);
  t.is(follower.silenceMs(), 0);
  await end();
});

// Guards against refused counts while nothing changes, between one long poll and the next.
test('should count waiting jobs at any time while nothing changes', async (t) => {
  const { site } = await makeOwnedSite({ workers: 0 });
  const other = site.start('b');
  await site.run(3_000);
  for (let at = 0; at < 6_000; at += 50) {
    await site.run(50);
    t.is(other.entry.callerApi.queries.countWaiting(site.queue.name), 0);
  }
});

// Guards against counts that stay refused for a whole long poll after an entry was late.
test('should soon renew a view that became old while the entry was late', async (t) => {
  const { clock, follower, end } = follow();
  await clock.advance(100);
  clock.jump(5_000);
  await clock.advance(600);
  t.true(follower.viewAgeMs() <= 600);
  await end();
});

// Guards against views that are too old whenever a hold ends because the store takes its time as well.
for (const latencyMs of [2, 200, 500, 800]) {
  test(`should keep a view recent while the store takes ${latencyMs} ms`, async (t) => {
    const { clock, store, follower, end } = follow();
    store.latencyMs = () => latencyMs;
    await clock.advance(4_000);
    let oldestMs = 0;
    for (let at = 0; at < 10_000; at += 10) {
      await clock.advance(10);
      oldestMs = Math.max(oldestMs, follower.viewAgeMs());
    }
    t.true(oldestMs <= ACCEPTED_AGE_MS, `${oldestMs} ms`);
    await end();
  });
}
