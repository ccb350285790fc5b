/**
 * How old an entry's view may be, and how long the store is silent: an entry that was late itself must
 * not take the one for the other.
 */
import test from 'ava';
import { StoreFollower, type StoreListener } from 'samphirenotch/jobs/store/storeFollower.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';
import { MemoryStoreData, MemoryTransactionStore } from '../fixtures/memoryTransactionStore.js';

const ID = '00000000000000a1';

// Guards against callers turned away because their entry, not the store, was silent.
test('should accept a job after it was late itself, with the store in order', async (t) => {
  const { site, owner } = await makeOwnedSite();
  await site.run(1_000);
  site.clock.jump(2_100);
  t.is(await site.submit(owner, ID, makeJob(makeStep())), 'done');
});

// Guards against an entry that tells the balancer that it is not ready because it was late.
test('should stay ready after it was late itself, with the store in order', async (t) => {
  const { site, owner } = await makeOwnedSite();
  await site.run(1_000);
  site.clock.jump(2_100);
  t.true(owner.entry.isReady());
});

// Guards against callers who wait for a store that is away.
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

/** Follows an otherwise quiet store. */
const follow = () => {
  const clock = new ManualClock();
  const data = new MemoryStoreData(clock);
  let answers = 0;
  const ignore = (): void => undefined;
  const onCaughtUp = (): void => {
    answers += 1;
  };
  const listener: StoreListener = { onListing: ignore, onChange: ignore, onCaughtUp };
  const follower = new StoreFollower(new MemoryTransactionStore(data), 'p/', listener, clock);
  const ended = new AbortController();
  const running = follower.run(ended.signal);
  const end = async (): Promise<void> => {
    ended.abort();
    await clock.advance(2_000);
    await running;
  };
  return { clock, data, follower, answers: () => answers, end };
};

// Guards against counts of waiting jobs that are told as new because they were read just now.
test('should tell how old a view may be from when it was asked for', async (t) => {
  const { clock, data, follower, answers, end } = follow();
  await clock.advance(100);
  data.put('p/a', '1');
  // The answer is there, but waits to be read.
  clock.jump(2_500);
  await clock.advance(0);
  t.is(answers(), 2);
  t.true(follower.viewAgeMs() >= 2_500);
  t.is(follower.silenceMs(), 0);
  await end();
});

// Guards against counts that are refused in quiet times, when two long watches follow each other.
test('should count waiting jobs at any time while nothing changes', async (t) => {
  const { site } = await makeOwnedSite({ workers: 0 });
  const other = site.start('b');
  await site.run(3_000);
  for (let at = 0; at < 6_000; at += 50) {
    await site.run(50);
    t.is(other.entry.callerApi.queries.countWaiting(site.queue.name), 0);
  }
});

// Guards against counts that stay refused for another long watch after an entry was late.
test('should renew a view soon that became old because nobody read it', async (t) => {
  const { clock, follower, end } = follow();
  await clock.advance(100);
  clock.jump(5_000);
  await clock.advance(600);
  t.true(follower.viewAgeMs() <= 600);
  await end();
});
