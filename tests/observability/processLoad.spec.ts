import test from 'ava';

import { CallCounter } from 'samphirenotch/observability/callCounter.js';
import { ProcessLoad } from 'samphirenotch/observability/processLoad.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

const makeLoad = () => {
  const clock = new ManualClock();
  const calls = new CallCounter();
  const used = { processorMs: 300, busyMs: 900 };
  return { clock, calls, used, load: new ProcessLoad(clock, calls, () => ({ ...used })) };
};

// Guards against: a site that costs too much, and no log that tells which entries and which calls do; and
// an owner that is late for want of a processor, and no log that tells it from one that is not.
test('should tell processor time, busy time and calls since the last line', async (t) => {
  const { clock, calls, used, load } = makeLoad();
  calls.note('store.watch');
  await clock.advance(5_000);
  t.deepEqual(load.take(), { overMs: 5_000, processorMs: 300, busyMs: 900, 'store.watch': 1 });
  calls.note('store.watch');
  calls.note('store.watch');
  calls.note('worker.hold');
  used.processorMs = 420;
  used.busyMs = 2_500;
  await clock.advance(2_000);
  t.deepEqual(load.take(), {
    overMs: 2_000,
    processorMs: 120,
    busyMs: 1_600,
    'store.watch': 2,
    'worker.hold': 1,
  });
});

test('should leave out calls that were not made again', (t) => {
  const { calls, load } = makeLoad();
  calls.note('store.list');
  load.take();
  t.false('store.list' in load.take());
});
