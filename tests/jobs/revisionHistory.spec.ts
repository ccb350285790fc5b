/**
 * Bounds of the time at which a revision of the store was written.
 */
import test from 'ava';
import { RevisionHistory } from 'samphirenotch/jobs/store/revisionHistory.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

// Guards against a lease that counts as older than it is, or as new after each change of the owner.
test('should take a revision for written when it was first seen and not earlier', async (t) => {
  const STEP_MS = 30;
  const PRECISION_MS = 200;
  const clock = new ManualClock();
  const history = new RevisionHistory(clock);
  const writtenMs: number[] = [];
  for (let revision = 0; revision < 300; revision += 1) {
    writtenMs.push(clock.monotonicMs());
    await clock.advance(STEP_MS);
    if (revision % 3 === 0) history.add(revision);
  }
  writtenMs.slice(0, -3).forEach((atMs, revision) => {
    const byMs = history.writtenByMs(revision);
    t.true(byMs >= atMs && byMs <= atMs + PRECISION_MS, `${revision}`);
  });
});

// Guards against an age of what this process has not seen yet, as after its start.
test('should take a revision that was not seen for one that was written just now', async (t) => {
  const clock = new ManualClock();
  const history = new RevisionHistory(clock);
  history.add(5);
  await clock.advance(1_000);
  t.is(history.writtenByMs(6), clock.monotonicMs());
  history.add(4);
  t.is(history.writtenByMs(6), clock.monotonicMs());
});
