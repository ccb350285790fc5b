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
    if (revision % 3 === 0) history.add(revision, clock.monotonicMs());
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
  history.add(5, clock.monotonicMs());
  await clock.advance(1_000);
  t.is(history.writtenByMs(6), clock.monotonicMs());
  history.add(4, clock.monotonicMs());
  t.is(history.writtenByMs(6), clock.monotonicMs());
});

// Guards against a time at which a worker leaves that counts from too late.
test('should know a time at which the store had not gone beyond a revision', async (t) => {
  const STEP_MS = 30;
  const PRECISION_MS = 300;
  const clock = new ManualClock();
  const history = new RevisionHistory(clock);
  const writtenMs: number[] = [];
  for (let revision = 0; revision < 300; revision += 1) {
    writtenMs.push(clock.monotonicMs());
    const askedMs = clock.monotonicMs();
    await clock.advance(STEP_MS);
    if (revision % 3 === 0) history.add(revision, askedMs);
  }
  writtenMs.slice(3).forEach((atMs, index) => {
    const notBeyondMs = history.notBeyondMs(index + 2);
    t.true(notBeyondMs <= atMs && notBeyondMs >= atMs - PRECISION_MS, `${index + 3}`);
  });
});

// Guards against an age that grows while the store stays at a revision.
test('should count on while the store stays at a revision', async (t) => {
  const clock = new ManualClock();
  const history = new RevisionHistory(clock);
  t.is(history.notBeyondMs(5), Number.NEGATIVE_INFINITY);
  history.add(5, clock.monotonicMs());
  await clock.advance(1_000);
  history.add(5, clock.monotonicMs());
  t.is(history.notBeyondMs(5), clock.monotonicMs());
  t.is(history.notBeyondMs(4), Number.NEGATIVE_INFINITY);
  history.add(7, clock.monotonicMs());
  t.is(history.notBeyondMs(6), clock.monotonicMs());
});
