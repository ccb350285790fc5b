import test from 'ava';
import { NoInterference } from 'samphirenotch/decisions/noInterference.js';
import type { PressureAction, PressureReading } from 'samphirenotch/decisions/pressurePolicy.js';
import { PressureLoop } from 'samphirenotch/shards/pressureLoop.js';

import {
  violatedRules,
  reserveOrFail,
  shardEntry,
  shardSite,
  startReserved,
  advanceUntil,
  untilAcceptingWork,
} from '../fixtures/shardSite.js';

const SLOT_REQUEST = { service: 'spot-desk', taskClass: 'settlement', excludedWorkers: [] };

// Guards against evictions without a checkpoint, or of which the owner of the job gets no report,
// and against a throttle that the next reading does not show.
test('should throttle, then evict with a checkpoint and report it to the owner of the job', async (t) => {
  const site = shardSite();
  const entry = shardEntry(site, 'e1');
  await untilAcceptingWork(site, entry);
  const room = await reserveOrFail(site, entry, { attemptId: 'a1' });
  await startReserved(site, entry, room, { attemptId: 'a1' });
  const slot = entry.slots.takeSlot(SLOT_REQUEST);
  slot?.release({ kind: 'answered', latencyMs: 90_000 });
  const readings: PressureReading[] = [];
  const decide = (reading: PressureReading): readonly PressureAction[] => {
    readings.push(reading);
    const [attempt] = reading.attempts;
    if (!attempt) return [];
    const { attemptId, throttledTo } = attempt;
    return throttledTo === 1
      ? [{ kind: 'throttle', attemptId, share: 0.5 }]
      : [{ kind: 'evict', attemptId }];
  };
  const loop = new PressureLoop(entry.handler, { decide }, new NoInterference(), site.clock);
  loop.run(new AbortController().signal);
  const evicted = () => entry.reports.find(({ phase }) => phase === 'stopped');
  await advanceUntil(site, () => evicted() !== undefined);
  t.is(readings[0]?.latencyRatio, 3, 'latency relative to half of the deadline');
  t.is(readings.find(({ attempts }) => attempts[0]?.throttledTo === 0.5)?.attempts.length, 1);
  t.regex(evicted()?.checkpoint ?? '', /doneMs/);
  const again = await reserveOrFail(site, entry, { attemptId: 'a2', declaredSize: room.size });
  t.is(again.workerId, 'w1');
  t.deepEqual(violatedRules(site), []);
});
