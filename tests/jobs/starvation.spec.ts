/**
 * Fillers that no worker is predicted to bear.
 */
import test from 'ava';

import type { MemoryTaskWorker } from '../fixtures/memoryTaskWorker.js';
import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const SERVING = '00000000000000b1';
const NOISY = '00000000000000c';
const EARLIER_FILLER = `${NOISY}1`;
const FILLER = `${NOISY}2`;
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };
const NO_PROCESSORS = { ...SIZE, milliCores: 0 };

/** Longest time for which a job may have nothing running while there is room, in milliseconds. */
const PROMISED_START_MS = 3_000;

const paceOf = (worker: MemoryTaskWorker, taskId: string): number =>
  worker.paces.get(taskId) ?? 100;

/** One worker whose serving tasks miss their target as soon as the filler works at all. */
const makeNoisySite = (servingTasks: number) =>
  makeOwnedSite({
    workers: 1,
    milliCores: 4_000,
    behave: (taskId) =>
      taskId.startsWith(SERVING)
        ? {
            size: SIZE,
            durationMs: Infinity,
            // The inverse of the tail falls with the pace of each loud filler, as on real workers.
            gauge: (worker) => {
              const inverse = worker
                .activeRuns()
                .filter((run) => run.taskId.startsWith(NOISY))
                .reduce((left, run) => left - (0.9 * paceOf(worker, run.taskId)) / 100, 0.2);
              return Math.round(1 / Math.max(0.01, inverse));
            },
          }
        : {
            size: NO_PROCESSORS,
            durationMs: 120_000,
            gauge: (worker) => 10 * paceOf(worker, taskId),
          },
  }).then(async (made) => {
    const { site, owner } = made;
    const step = makeStep({ longRunning: true, image: 's', targetMs: 20, count: servingTasks });
    await site.submit(owner, SERVING, makeJob(step));
    await site.run(2_000);
    const filler = makeStep({ filler: true, image: 'loud', checkpointing: true });
    // From this one is learned how loud the image is.
    await site.submit(owner, EARLIER_FILLER, makeJob(filler));
    await site.run(6_000);
    await site.cancel(owner, EARLIER_FILLER);
    await site.run(1_500);
    const submittedMs = site.clock.monotonicMs();
    await site.submit(owner, FILLER, makeJob(filler));
    await site.run(12_000);
    return { ...made, submittedMs, runs: site.record.runsOf(`${FILLER}.0.0.0`) };
  });

test('should not leave a filler waiting for long where there is room', async (t) => {
  const { site, submittedMs, runs } = await makeNoisySite(1);
  const nowMs = site.clock.monotonicMs();
  const ends = [submittedMs, ...runs.map(({ endedMs }) => endedMs ?? nowMs)];
  const starts = [...runs.map(({ startedMs }) => startedMs), nowMs];
  t.true(runs.length > 0);
  ends.forEach((endMs, index) => t.true((starts[index] ?? nowMs) - endMs < PROMISED_START_MS));
  t.deepEqual(site.record.violations, []);
});

test('should keep a filler waiting that nobody can bear where there is little room', async (t) => {
  const { runs } = await makeNoisySite(3);
  t.is(runs.length, 0);
});
