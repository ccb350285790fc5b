/**
 * Cancellations at each step of a job's life, one at a time and in bursts.
 */
import test from 'ava';
import { taskWorld, withOutage } from '../fixtures/taskWorld.js';

const JOB = 'timaru~0~a1';
const SEEDS = Array.from({ length: 24 }, (_, index) => index);
const STEP_MS = 17;

// A cancellation races with the start and the end of the attempt. The caller's answer must agree
// with the recorded state and with what the worker did.
for (const seed of SEEDS) {
  test(`should win or lose definitely when a cancellation comes ${seed * STEP_MS} ms into the job`, async (t) => {
    const world = taskWorld(seed);
    const entry = world.entry('e1');
    await entry.takePartition(1);
    await world.advance(100);
    const submitting = entry.submit(JOB, { payload: JSON.stringify({ runMs: 250 }) });
    await world.waitUntil(() => entry.show(JOB) !== undefined);
    await submitting;
    await world.clock.advance(seed * STEP_MS);
    const cancelling = entry.cancel(JOB);
    await world.advance(9_000);
    const outcome = await cancelling;
    const final = entry.show(JOB);
    t.is(final?.state, outcome.ok ? 'cancelled' : 'completed');
    if (outcome.err) t.is(outcome.val.code, 'conflict');
    const ends = world.history.events.filter(({ kind }) => kind === 'attempt-ended');
    t.is(
      ends.some(({ phase }) => phase === 'completed'),
      !outcome.ok,
    );
    t.is(ends.length, world.startCount(JOB));
    t.true((final?.attempts ?? 0) <= 1);
    t.deepEqual(world.violations(), []);
  });
}

// With a slow store, the cancellation arrives while the attempt is recorded as starting in memory
// only. The start must not be sent afterwards.
test('should not send the start of a job that was cancelled before its attempt was stored', async (t) => {
  const world = taskWorld();
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(100);
  world.store.faults.delayMs = 100;
  const submitting = entry.submit(JOB);
  await world.waitUntil(() => entry.latest(JOB)?.state === 'starting');
  const cancelling = entry.cancel(JOB);
  await world.advance(2_000);
  t.true((await submitting).ok);
  t.true((await cancelling).ok);
  t.is(entry.show(JOB)?.state, 'cancelled');
  t.is(world.startCount(JOB), 0);
});

// An evicted task is normally queued again to resume elsewhere. If it is cancelled during the
// eviction, the cancellation must win.
for (const delayMs of [0, 30, 70, 110, 150, 200, 300]) {
  test(`should not resume a task cancelled ${delayMs} ms into its eviction`, async (t) => {
    const world = taskWorld();
    const entry = world.entry('e1');
    await entry.takePartition(1);
    await world.advance(100);
    const submitting = entry.submit(JOB, { payload: JSON.stringify({ runMs: 30_000 }) });
    await world.waitUntil(() => entry.show(JOB)?.state === 'running');
    await submitting;
    world.configure(withOutage(world.current(), 'timaru'));
    await world.clock.advance(delayMs);
    const cancelling = entry.cancel(JOB);
    await world.advance(5_000);
    t.true((await cancelling).ok);
    t.is(entry.show(JOB)?.state, 'cancelled');
    const ends = world.history.events.filter(({ kind }) => kind === 'attempt-ended');
    t.is(ends.length, world.startCount(JOB));
    t.deepEqual(world.violations(), []);
  });
}

// The owner stores the cancellation and dies before it sends the stop. The next owner must carry it
// out.
test('should keep an accepted cancellation when the owner dies before the stop', async (t) => {
  const world = taskWorld();
  const [first, second] = [world.entry('e1'), world.entry('e2')];
  await first.takePartition(1);
  await world.advance(100);
  const submitting = first.submit(JOB, { payload: JSON.stringify({ runMs: 30_000 }) });
  await world.waitUntil(() => first.show(JOB)?.state === 'running');
  await submitting;
  first.killAt((method, moment) => method === 'stop' && moment === 'before');
  first.cancel(JOB).catch(() => undefined);
  await world.waitUntil(() => first.isDead());
  await second.takePartition(2);
  await world.waitUntil(() => second.show(JOB)?.state === 'cancelled');
  t.is(world.startCount(JOB), 1);
  t.deepEqual(world.violations(), []);
});

// A burst of cancellations could take one write each, or hold up the scheduling of urgent tasks.
test('should cancel thousands of jobs in a few commits without delaying another task', async (t) => {
  const world = taskWorld();
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(100);
  const ids = Array.from({ length: 2_000 }, (_, index) => `timaru~0~b${index}`);
  const submitting = Promise.all(ids.map((id) => entry.submit(id, { payload: '{"runMs":60000}' })));
  await world.waitUntil(() => ids.every((id) => entry.show(id) !== undefined));
  await submitting;
  await world.advance(1_000);
  const writesBefore = world.store.meter.counts().writes;
  const cancelling = Promise.all(ids.map((id) => entry.cancel(id)));
  const urgent = entry.submit(JOB, { taskClass: 'settlement', payload: '{"runMs":100}' });
  const beganMs = world.clock.monotonicMs();
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  const urgentMs = world.clock.monotonicMs() - beganMs;
  await world.waitUntil(() => ids.every((id) => entry.show(id)?.state === 'cancelled'));
  t.true((await cancelling).every(({ ok }) => ok));
  t.true((await urgent).ok);
  t.true(world.store.meter.counts().writes - writesBefore < ids.length / 20);
  t.true(urgentMs < 8_600);
  t.deepEqual(world.violations(), []);
});
