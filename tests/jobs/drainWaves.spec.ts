/**
 * Many workers that drain at once, while others have room for what they run.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep, type JobSite } from '../fixtures/jobSite.js';

const DRAINING = 20;
const TASKS_EACH = 4;
const OTHERS = 40;
const NOTICE_MS = 7_000;

/** Time before a worker leaves at which its long-running runs are stopped at the latest, in milliseconds. */
const LEAVE_MARGIN_MS = 1_500;

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

const MOVED_ID = '00000000000000a1';
const RESIDENT_ID = '00000000000000a2';
const SHORT_ID = '00000000000000a3';

/** Longest time for which a task may keep room that it does not use, in milliseconds. */
const MAX_HOLD_MS = 3_000;

const drainingIds = Array.from({ length: DRAINING }, (_, at) => `w${at}`);

const drainAll = (site: JobSite): void =>
  drainingIds.forEach((id) =>
    site.registerWorker(id, { phase: 'draining', remainingMs: NOTICE_MS }),
  );

const countMoved = (site: JobSite): number =>
  [...site.workers.values()]
    .filter(({ id }) => !drainingIds.includes(id))
    .flatMap((worker) => worker.activeRuns())
    .filter(({ taskId }) => taskId.startsWith(MOVED_ID)).length;

/** Makes a site of full workers that are about to drain and others that have room beside a run each. */
const makeWaveSite = async (): Promise<JobSite> => {
  const { site, owner } = await makeOwnedSite({
    workers: DRAINING,
    behave: () => ({ size: SIZE, durationMs: Infinity }),
  });
  const lasting = { longRunning: true, size: SIZE };
  const moved = makeStep({ ...lasting, count: DRAINING * TASKS_EACH });
  await site.submit(owner, MOVED_ID, makeJob(moved));
  await site.run(500);
  for (let at = 0; at < OTHERS; at += 1) site.addWorker(`w${DRAINING + at}`);
  await site.run(500);
  await site.submit(owner, RESIDENT_ID, makeJob(makeStep({ ...lasting, count: OTHERS })));
  await site.run(1_000);
  return site;
};

// Guards against moves at a constant rate: what is left when the notice ends is stopped without a place, in
// one wave (LOST where the room is taken meanwhile).
test('should move all tasks that others have room for before their workers must be left', async (t) => {
  const site = await makeWaveSite();
  drainAll(site);
  await site.run(NOTICE_MS - LEAVE_MARGIN_MS);
  t.is(countMoved(site), DRAINING * TASKS_EACH);
  t.deepEqual(site.record.violations, []);
});

// Guards against room that stays held for tasks whose runs do not end.
test('should give held room back to others if the tasks do not leave', async (t) => {
  const site = await makeWaveSite();
  drainingIds.forEach((id) => Object.assign(site.workers.get(id) ?? {}, { dropsStops: true }));
  drainAll(site);
  await site.run(500);
  const free = OTHERS * (TASKS_EACH - 1);
  site.putJobs([SHORT_ID], makeJob(makeStep({ count: free, size: SIZE })));
  await site.run(MAX_HOLD_MS);
  t.is(site.record.runs.filter(({ taskId }) => taskId.startsWith(SHORT_ID)).length, free);
  t.deepEqual(site.record.violations, []);
});

// Guards against room that is held on workers which leave as well.
test('should move tasks whose next workers begin to drain before they start there', async (t) => {
  for (let delayMs = 50; delayMs <= 300; delayMs += 50) {
    const site = await makeWaveSite();
    drainAll(site);
    await site.run(delayMs);
    for (let at = 0; at < 5; at += 1)
      site.registerWorker(`w${DRAINING + at}`, { phase: 'draining', remainingMs: NOTICE_MS });
    await site.run(NOTICE_MS - LEAVE_MARGIN_MS);
    const running = [...site.workers.values()].flatMap((worker) => worker.activeRuns());
    t.is(running.length, DRAINING * TASKS_EACH + OTHERS, `${delayMs} ms`);
    const left = running.filter(({ workerId }) => Number(workerId.slice(1)) < DRAINING + 5);
    t.deepEqual(left, [], `${delayMs} ms`);
    t.deepEqual(site.record.violations, []);
  }
});

// Guards against held room that does not count for the limit of tasks of a step per worker: tasks are stopped
// that can run nowhere else.
test('should move no more tasks of a step than other workers may run', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 4,
    behave: () => ({ size: SIZE, durationMs: Infinity }),
  });
  const step = makeStep({ longRunning: true, size: SIZE, count: 4, perWorkerLimit: 1 });
  await site.submit(owner, MOVED_ID, makeJob(step));
  await site.run(1_000);
  site.addWorker('w4');
  site.addWorker('w5');
  await site.run(500);
  drainingIds
    .slice(0, 4)
    .forEach((id) => site.registerWorker(id, { phase: 'draining', remainingMs: NOTICE_MS }));
  await site.run(2_000);
  const runs = [...site.workers.values()].map((worker) => worker.activeRuns().length);
  t.deepEqual(runs.slice(4), [1, 1]);
  t.is(
    runs.reduce((sum, count) => sum + count),
    4,
  );
  t.deepEqual(site.record.violations, []);
});

// Guards against a task that loses its place while it is being stopped, and waits behind urgent ones.
test('should hold room elsewhere if the next worker of a task begins to drain as well', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 2,
    behave: () => ({ size: SIZE, durationMs: Infinity }),
  });
  await site.submit(owner, MOVED_ID, makeJob(makeStep({ longRunning: true, size: SIZE })));
  await site.run(1_000);
  const first = [...site.workers.values()].find((worker) => worker.activeRuns().length > 0);
  const second = [...site.workers.values()].find((worker) => worker !== first);
  if (!first || !second) throw new Error('the task does not run');
  first.dropsStops = true;
  site.registerWorker(first.id, { phase: 'draining', remainingMs: NOTICE_MS });
  await site.run(300);
  site.registerWorker(second.id, { phase: 'draining', remainingMs: NOTICE_MS });
  await site.run(300);
  site.addWorker('w2');
  await site.run(500);
  site.putJobs([SHORT_ID], makeJob(makeStep({ count: TASKS_EACH, size: SIZE })));
  await site.run(200);
  first.endRuns(MOVED_ID, 'stopped');
  await site.run(300);
  const third = site.workers.get('w2')?.activeRuns() ?? [];
  t.is(third.filter(({ taskId }) => taskId.startsWith(MOVED_ID)).length, 1);
  t.is(third.length, TASKS_EACH);
  t.deepEqual(site.record.violations, []);
});
