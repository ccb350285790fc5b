/**
 * How soon ends of tasks are heard of, and shown.
 */
import test from 'ava';
import { ENDED_PREFIX } from 'samphirenotch/jobs/store/jobKeys.js';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const OTHER_ID = '00000000000000a2';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Urgent jobs have 250 ms beyond their work, for two steps and the way to their caller. */
const MAX_GAP_MS = 80;

/** Duration of the last task of a step, a little longer than that of the others. */
const LAST_TASK_MS = 1_040;

// Guards against ends that follow another one on their worker and wait for it to be stored and for a pause.
test('should start the next step soon after ends that follow each other on a worker', async (t) => {
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

// Guards against callers that are told of an old state although the store has a newer one.
test('should tell at any entry that a job has ended as soon as that is stored', async (t) => {
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
