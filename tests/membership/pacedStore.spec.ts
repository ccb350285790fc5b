import test from 'ava';
import { MemoryKeyValueStore } from 'samphirenotch-stand-ins/memoryKeyValueStore.js';
import { DEFAULT_CALL_RATE_SETTINGS } from 'samphirenotch/membership/callRateLimiter.js';
import { RateLimitedKeyValueStore } from 'samphirenotch/membership/rateLimitedKeyValueStore.js';
import { callWithin } from 'samphirenotch/time/call.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

const rateLimitedStore = (changes: Partial<typeof DEFAULT_CALL_RATE_SETTINGS> = {}) => {
  const clock = new ManualClock();
  const inner = new MemoryKeyValueStore(clock);
  const settings = { ...DEFAULT_CALL_RATE_SETTINGS, ...changes };
  return { clock, inner, store: new RateLimitedKeyValueStore(inner, clock, settings) };
};

// Calls above the limit would be rejected by the platform; calls that cannot be sent before their
// deadline must fail at once instead of holding a place in the queue.
test('should limit the rate of calls, and reject calls that would wait past their deadline', async (t) => {
  const { clock, store } = rateLimitedStore({ callsPerSecond: 10, burst: 5 });
  const answers = Promise.all(
    Array.from({ length: 40 }, (_, index) => store.get(`k${index}`, callWithin(clock, 2050))),
  );
  await clock.advance(3000);
  const failed = (await answers).filter(({ err }) => err);
  t.is(store.counts.of('get'), 25, 'a burst of five, then ten per second');
  t.is(failed.length, 15);
  failed.forEach(({ val }) => t.like(val, { code: 'overloaded', effect: 'not-run' }));
});

// A get that joins one that has already been sent could return a value older than its own call.
test('should join a get of the same key only until that one is sent', async (t) => {
  const { clock, inner, store } = rateLimitedStore({ callsPerSecond: 10, burst: 0 });
  const gets = [1, 2, 3].map(() => store.get('k', callWithin(clock, 2000)));
  await clock.advance(1000);
  await Promise.all(gets);
  t.is(store.counts.of('get'), 1);
  const later = store.get('k', callWithin(clock, 2000));
  await clock.advance(1000);
  t.true((await later).ok);
  t.is(store.counts.of('get'), 2);
  inner.faults.delayMs = 300;
  const inFlight = store.get('k', callWithin(clock, 2000));
  await clock.advance(200);
  t.is(store.counts.of('get'), 3);
  const concurrent = store.get('k', callWithin(clock, 2000));
  await clock.advance(1000);
  t.true((await inFlight).ok && (await concurrent).ok);
  t.is(store.counts.of('get'), 4, 'a get must not return a value read before it was called');
});

// Calls at the full rate would keep an overloaded store down, but a delayed renewal loses the
// lease.
test('should call a store that is down less and less often, but never delay a renewal', async (t) => {
  const { clock, inner, store } = rateLimitedStore();
  const granted = await store.grantLease(5000, callWithin(clock, 1000));
  const leaseId = granted.ok ? granted.val : '';
  inner.faults.down = true;
  const stopped = new AbortController();
  const getRepeatedly = async (): Promise<void> => {
    while (!stopped.signal.aborted) {
      await store.get('k', callWithin(clock, 5000));
      await clock.sleep(10, stopped.signal);
    }
  };
  getRepeatedly();
  await clock.advance(20_000);
  t.true(store.counts.of('get') < 30, `${store.counts.of('get')} gets in 20 s`);
  const sentAtMs = clock.monotonicMs();
  await store.renewLease(leaseId, callWithin(clock, 1000));
  t.is(clock.monotonicMs(), sentAtMs);
  inner.faults.down = false;
  await clock.advance(3000);
  t.true((await store.get('k', callWithin(clock, 1000))).ok);
  stopped.abort();
});
