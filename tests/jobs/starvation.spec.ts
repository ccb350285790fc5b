/**
 * Tests fillers that are predicted to interfere too much on every worker.
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

/** Longest time for which a job may have no run while there is free capacity, in milliseconds. */
const PROMISED_START_MS = 3_000;

const paceOf = (worker: MemoryTaskWorker, taskId: string): number =>
  worker.paces.get(taskId) ?? 100;

/**
 * Makes a site of one worker whose serving tasks miss their target as soon as the filler runs at
 * all.
 */
const makeNoisySite = (servingTasks: number) =>
  makeOwnedSite({
    workers: 1,
    milliCores: 4_000,
    behave: (taskId) =>
      taskId.startsWith(SERVING)
        ? {
            size: SIZE,
            durationMs: Infinity,
            // The inverse of the tail latency falls with the pace of each noisy filler, as on real
            // workers.
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
    const filler = makeStep({ filler: true, image: 'noisy', checkpointing: true });
    // The owner learns from this job how strongly the image interferes.
    await site.submit(owner, EARLIER_FILLER, makeJob(filler));
    await site.run(6_000);
    await site.cancel(owner, EARLIER_FILLER);
    await site.run(1_500);
    const submittedMs = site.clock.monotonicMs();
    await site.submit(owner, FILLER, makeJob(filler));
    await site.run(12_000);
    return { ...made, submittedMs, runs: site.record.runsOf(`${FILLER}.0.0.0`) };
  });

// Guards against a filler that never runs because no worker is predicted to be suitable for it.
test('should start a starved filler soon if there is free capacity', async (t) => {
  const { site, submittedMs, runs } = await makeNoisySite(1);
  const nowMs = site.clock.monotonicMs();
  const ends = [submittedMs, ...runs.map(({ endedMs }) => endedMs ?? nowMs)];
  const starts = [...runs.map(({ startedMs }) => startedMs), nowMs];
  t.true(runs.length > 0);
  ends.forEach((endMs, index) => t.true((starts[index] ?? nowMs) - endMs < PROMISED_START_MS));
  t.deepEqual(site.record.violations, []);
});

// Guards against harm to serving tasks on a site that is nearly full anyway.
test('should not start a filler that interferes on every worker if little capacity is free', async (t) => {
  const { runs } = await makeNoisySite(3);
  t.is(runs.length, 0);
});
