/**
 * Lost answers of the store and of shards, outages of the store, and owners that are frozen and
 * replaced.
 */
import test from 'ava';
import { taskWorld } from '../fixtures/taskWorld.js';

const JOB = 'timaru~0~a1';

const ready = async () => {
  const world = taskWorld();
  const entry = world.entry('e1');
  await entry.takePartition(1);
  await world.advance(200);
  return { world, entry };
};

for (const lost of ['request', 'answer'] as const) {
  // The owner does not know whether the task was started. A second start would run it twice.
  test(`should run an idempotent task in one place when the ${lost} of its start is lost`, async (t) => {
    const { world, entry } = await ready();
    let losses = 1;
    world.shards.faults.chooseLoss = (step) => {
      if (step !== 'start' || losses === 0) return undefined;
      losses -= 1;
      return lost;
    };
    const submitting = entry.submit(JOB);
    await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
    t.true((await submitting).ok);
    t.is(losses, 0);
    t.is(world.startCount(JOB), 1);
    t.deepEqual(world.violations(), []);
  });

  // A non-idempotent task that may have run must be held for an operator instead of restarted.
  test(`should not restart a non-idempotent task when the ${lost} of its start is lost`, async (t) => {
    const { world, entry } = await ready();
    world.shards.faults.chooseLoss = (step) => (step === 'start' ? lost : undefined);
    const submitting = entry.submit(JOB, { taskClass: 'settlement' });
    const state = lost === 'answer' ? 'completed' : 'held';
    await world.waitUntil(() => entry.show(JOB)?.state === state);
    await submitting;
    await world.advance(10_000);
    t.is(world.startCount(JOB), lost === 'answer' ? 1 : 0);
    t.deepEqual(world.violations(), []);
  });
}

// Neither the start nor the questions about it are answered. As long as the outcome is unknown, a
// second start could run the task twice.
test('should not start a job again until a start of unknown effect is resolved', async (t) => {
  const { world, entry } = await ready();
  world.shards.faults.chooseLoss = (step) => (step === 'reserve' ? undefined : 'answer');
  const submitting = entry.submit(JOB, { payload: JSON.stringify({ runMs: 60_000 }) });
  await world.advance(10_000);
  await submitting;
  t.is(world.startCount(JOB), 1);
  world.shards.faults.chooseLoss = () => undefined;
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  t.is(world.startCount(JOB), 1);
  t.deepEqual(world.violations(), []);
});

// A commit whose answer is lost is written again. The job must still exist once and start once.
for (const count of [1, 2, 3, 4]) {
  test(`should keep one job in one place when ${count} answers of the store are lost`, async (t) => {
    const { world, entry } = await ready();
    world.store.faults.loseAnswers = count;
    const submitting = entry.submit(JOB);
    await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
    t.true((await submitting).ok);
    t.is(world.startCount(JOB), 1);
    t.deepEqual(world.violations(), []);
  });
}

// During an outage of the store, callers must not wait for a timeout each, and running tasks must
// not be stopped.
test('should refuse submissions at once during a store outage while tasks keep running', async (t) => {
  const { world, entry } = await ready();
  const first = entry.submit(JOB, { payload: JSON.stringify({ runMs: 20_000 }) });
  await world.waitUntil(() => entry.show(JOB)?.state === 'running');
  await first;
  const queued = entry.submit('timaru~0~a2');
  await world.waitUntil(() => entry.show('timaru~0~a2') !== undefined);
  await queued;
  world.store.faults.down = true;
  const tried = entry.submit('timaru~0~a3');
  await world.advance(6_000);
  const unconfirmed = await tried;
  t.is(unconfirmed.err ? unconfirmed.val.effect : 'ok', 'unknown');
  const before = world.clock.monotonicMs();
  const refused = await entry.submit('timaru~0~a4');
  t.is(world.clock.monotonicMs(), before);
  t.is(refused.err ? refused.val.effect : 'ok', 'not-run');
  t.true(refused.err && (refused.val.retryAfterMs ?? 0) > 0);
  await world.advance(20_000);
  world.workers.forEach((worker) => worker.advance());
  const ended = world.history.events.filter(({ kind }) => kind === 'attempt-ended');
  t.true(ended.some(({ jobId, phase }) => jobId === JOB && phase === 'completed'));
  world.store.faults.down = false;
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  await world.waitUntil(() => entry.show('timaru~0~a2')?.state === 'completed');
  t.is(entry.show('timaru~0~a4'), undefined);
  t.deepEqual(world.violations(), []);
});

// A start that is sent before its attempt is stored would be unknown to the next owner.
test('should send no start before the attempt is stored and explain that it waits for the store', async (t) => {
  const { world, entry } = await ready();
  world.shards.faults.chooseLoss = (step) => (step === 'reserve' ? 'request' : undefined);
  const submitting = entry.submit(JOB);
  await world.waitUntil(() => entry.show(JOB) !== undefined);
  await submitting;
  world.store.faults.down = true;
  const probe = entry.submit('timaru~0~a2');
  await world.advance(5_500);
  await probe;
  world.shards.faults.chooseLoss = () => undefined;
  await world.advance(10_000);
  t.is(world.startCount(JOB), 0);
  t.is(await entry.explain(JOB), 'store');
  world.store.faults.down = false;
  await world.waitUntil(() => entry.show(JOB)?.state === 'completed');
  t.is(world.startCount(JOB), 1);
});

// A frozen owner that wakes up after its replacement must not accept or overwrite anything.
test('should give the partition up when another owner has written its head', async (t) => {
  const { world, entry } = await ready();
  const second = world.entry('e2');
  entry.freeze();
  await second.takePartition(2, false);
  await world.waitUntil(() => second.handler.find('partition/timaru/0')?.jobs() !== undefined);
  const accepted = second.submit(JOB);
  await world.waitUntil(() => second.show(JOB)?.state === 'completed');
  t.true((await accepted).ok);
  entry.thaw();
  const late = entry.submit('timaru~0~late');
  await world.advance(1_000);
  t.true((await late).err);
  t.true(entry.handler.find('partition/timaru/0') === undefined);
  t.is(second.show('timaru~0~late'), undefined);
  t.is(second.show(JOB)?.state, 'completed');
});

// The owner freezes just before it sends a start and sends it after the takeover. The new owner has
// resolved the attempt by then, so the late start must be refused.
test('should not run a start that a frozen owner sends after its replacement', async (t) => {
  for (const taskClass of ['plan', 'settlement']) {
    const { world, entry } = await ready();
    const second = world.entry('e2');
    const submitting = entry.submit(JOB, { taskClass });
    entry.killAt((method, moment) => {
      if (method === 'start' && moment === 'before') entry.freeze();
      return false;
    });
    await world.waitUntil(() => second.isDead() || entry.latest(JOB)?.state === 'starting');
    await world.advance(200);
    submitting.catch(() => undefined);
    t.is(world.startCount(JOB), 0);
    await second.takePartition(2);
    await world.waitUntil(() => ['completed', 'held'].includes(second.show(JOB)?.state ?? ''));
    entry.thaw();
    await world.advance(10_000);
    t.is(world.startCount(JOB), taskClass === 'plan' ? 1 : 0);
    t.deepEqual(world.violations(), []);
  }
});

// Takeover without any change of a job: the former owner must still fail its next commit.
test('should fence an owner that was replaced without any change of jobs', async (t) => {
  const { world, entry } = await ready();
  const second = world.entry('e2');
  entry.freeze();
  await second.takePartition(2, false);
  await world.waitUntil(() => second.handler.find('partition/timaru/0')?.jobs() !== undefined);
  entry.thaw();
  const late = entry.submit('timaru~0~late');
  await world.advance(1_000);
  t.true((await late).err);
  const accepted = second.submit(JOB);
  await world.waitUntil(() => second.show(JOB)?.state === 'completed');
  t.true((await accepted).ok);
});

// The owner freezes after its attempt is stored but before it learns so. When it wakes up after the
// takeover, it must not send the start.
test('should send no start when the owner was replaced before its commit was confirmed', async (t) => {
  const { world, entry } = await ready();
  const second = world.entry('e2');
  const sent: string[] = [];
  world.shards.faults.chooseLoss = (step, attemptId) => {
    if (step === 'start') sent.push(attemptId);
    return undefined;
  };
  entry.killAt((method, moment, text) => {
    if (method === 'swap' && moment === 'after' && text.includes('starting')) entry.freeze();
    return false;
  });
  entry.submit(JOB).catch(() => undefined);
  await world.advance(1_000);
  await second.takePartition(2);
  await world.waitUntil(() => second.show(JOB)?.state === 'completed');
  entry.thaw();
  await world.advance(5_000);
  t.deepEqual(
    sent.filter((attemptId) => attemptId.includes('.1.')),
    [],
  );
  t.is(world.startCount(JOB), 1);
});
