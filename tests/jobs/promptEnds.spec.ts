/**
 * How quickly the end of a task or job is noticed and visible to callers.
 */
import test from 'ava';
import { ENDED_PREFIX } from 'samphirenotch/jobs/store/jobKeys.js';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const OTHER_ID = '00000000000000a2';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/**
 * Largest allowed gap between two steps, in milliseconds. Urgent jobs have 250 ms beyond their
 * work, for two steps and the response to their caller.
 */
const MAX_GAP_MS = 80;

/** Duration of the last task of a step, in milliseconds: slightly longer than the others. */
const LAST_TASK_MS = 1_040;

// Guards against a late start of the next step: if two tasks end shortly after each other on a
// worker, the second end must not wait until the first is stored and a pause has passed.
test('should start the next step promptly after ends in quick succession on a worker', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    behave: (taskId) => ({
      size: SIZE,
      durationMs: taskId.endsWith('.0.0.1') ? LAST_TASK_MS : 1_000,
    }),
  });
  const job = makeJob(makeStep({ count: 2 }), makeStep({ count: 1, after: [0] }));
  await site.submit(owner, ID, job);
  await site.run(3_000);
  const { runs } = site.record;
  t.is(runs.length, 3);
  const [first, , next] = runs;
  const endedMs = (first?.startedMs ?? 0) + LAST_TASK_MS;
  t.true((next?.startedMs ?? Infinity) - endedMs <= MAX_GAP_MS);
});

// Guards against stale answers to callers: another entry still reports the old state of a job
// although the store already has its end.
test('should report the end of a job at any entry as soon as it is stored', async (t) => {
  const durations = new Map([
    [ID, 1_000],
    [OTHER_ID, 1_100],
  ]);
  const { site, owner } = await makeOwnedSite({
    behave: (taskId) => ({
      size: SIZE,
      durationMs: durations.get(taskId.split('.')[0] ?? '') ?? 0,
    }),
  });
  const other = site.start('b');
  await site.run(1_000);
  for (const id of durations.keys()) await site.submit(owner, id, makeJob(makeStep()));
  for (const id of durations.keys()) {
    while (!site.data.items.has(ENDED_PREFIX + id)) await site.clock.advance(1);
    t.is(await site.state(other, id), 'completed');
  }
});
