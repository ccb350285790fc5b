/**
 * Crashes of the owner of a partition at each step of a start, which stores its intent before it
 * sends the call, and of an eviction.
 */
import test from 'ava';
import { taskWorld, withOutage, type CrashPoint, type TaskWorld } from '../fixtures/taskWorld.js';

const JOB = 'timaru~0~a1';
const PAYLOAD = JSON.stringify({ runMs: 3_000 });

const crashAtSwap =
  (moment: 'before' | 'after', word: string): CrashPoint =>
  (method, when, text) =>
    method === 'swap' && when === moment && text.includes(word);

const crashAtCall =
  (name: string, moment: 'before' | 'after'): CrashPoint =>
  (method, when) =>
    method === name && when === moment;

const storedState = (state: string): string => `state\\":\\"${state}`;

const START_POINTS: readonly (readonly [string, CrashPoint])[] = [
  ['before the intent is written', crashAtSwap('before', storedState('starting'))],
  [
    'after the intent is written and before the start is sent',
    crashAtSwap('after', storedState('starting')),
  ],
  ['at the moment of sending the start', crashAtCall('start', 'before')],
  ['after the start took effect and before its answer', crashAtCall('start', 'after')],
  [
    'after the answer of the start and before it is recorded',
    crashAtSwap('before', storedState('running')),
  ],
  ['before the completion is recorded', crashAtSwap('before', storedState('completed'))],
  [
    'after the completion is recorded and before it is acknowledged',
    crashAtSwap('after', storedState('completed')),
  ],
];

const crashAndTakeOver = async (world: TaskWorld, point: CrashPoint, taskClass: string) => {
  const [first, second] = [world.entry('e1'), world.entry('e2')];
  await first.takePartition(1);
  await world.advance(100);
  first.killAt(point);
  first.submit(JOB, { taskClass, payload: PAYLOAD }).catch(() => undefined);
  await world.waitUntil(() => first.isDead());
  await second.takePartition(2);
  return second;
};

for (const [name, point] of START_POINTS) {
  // Guards against a lost or duplicated attempt: the new owner finds a job whose start may or may
  // not have reached the worker.
  test(`should complete an idempotent task once when its owner dies ${name}`, async (t) => {
    const world = taskWorld();
    const second = await crashAndTakeOver(world, point, 'plan');
    await world.waitUntil(() => second.show(JOB)?.state === 'completed');
    await world.advance(3_000);
    t.is(world.startCount(JOB), 1);
    t.deepEqual(world.violations(), []);
  });

  // Guards against a second run of a non-idempotent task. If it is unknown whether the first start
  // took effect, the job has to be held instead of being started again.
  test(`should never start a non-idempotent task twice when its owner dies ${name}`, async (t) => {
    const world = taskWorld();
    const second = await crashAndTakeOver(world, point, 'settlement');
    const hasSettled = (): boolean => ['completed', 'held'].includes(second.show(JOB)?.state ?? '');
    await world.waitUntil(hasSettled);
    await world.advance(20_000);
    t.true(world.startCount(JOB) <= 1);
    t.is(second.show(JOB)?.state, world.startCount(JOB) === 1 ? 'completed' : 'held');
    t.deepEqual(world.violations(), []);
  });
}

const EVICTED = 'evictions\\":1';

const EVICT_POINTS: readonly (readonly [string, CrashPoint])[] = [
  ['before the eviction is recorded', crashAtSwap('before', storedState('evicting'))],
  ['before the stop is sent', crashAtCall('stop', 'before')],
  ['after the stop took effect and before its answer', crashAtCall('stop', 'after')],
  ['after the stop is confirmed and before that is recorded', crashAtSwap('before', EVICTED)],
  ['after the stop is recorded and before the resume is sent', crashAtSwap('after', EVICTED)],
  ['at the moment of sending the resume', crashAtCall('start', 'before')],
  ['after the resume took effect and before its answer', crashAtCall('start', 'after')],
];

for (const [name, point] of EVICT_POINTS) {
  for (const taskClass of ['plan', 'settlement']) {
    // Guards against an eviction that is repeated, or a checkpoint that is lost, when the new owner
    // continues an eviction that the former owner had begun.
    test(`should resume an evicted ${taskClass} once when its owner dies ${name}`, async (t) => {
      const world = taskWorld();
      const [first, second] = [world.entry('e1'), world.entry('e2')];
      await first.takePartition(1);
      await world.advance(100);
      const submitting = first.submit(JOB, { taskClass, payload: PAYLOAD });
      await world.waitUntil(() => first.show(JOB)?.state === 'running');
      await submitting;
      first.killAt(point);
      world.configure(withOutage(world.current(), 'timaru'));
      await world.waitUntil(() => first.isDead());
      await second.takePartition(2);
      const hasSettled = (): boolean =>
        ['completed', 'held'].includes(second.show(JOB)?.state ?? '');
      await world.waitUntil(hasSettled);
      await world.advance(20_000);
      const starts = world.history.events.filter(({ kind }) => kind === 'attempt-started');
      t.true(starts.length <= 2);
      if (taskClass === 'plan') t.is(second.show(JOB)?.state, 'completed');
      if (second.show(JOB)?.state === 'completed') t.truthy(starts[1]?.checkpoint);
      t.deepEqual(world.violations(), []);
    });
  }
}
