/**
 * Tests fillers that are predicted to interfere too much on every worker.
 */
import test from 'ava';
import { SilentRecorder, type Step } from 'samphirenotch/observability/recorder.js';

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

/** Longest wait of an owner for news before it looks at its jobs again, in milliseconds. */
const PASS_INTERVAL_MS = 250;

/** Counts the passes of owners. */
class PassRecorder extends SilentRecorder {
  passes = 0;

  override time(step?: Step): void {
    if (step === 'pass') this.passes += 1;
  }
}

const paceOf = (worker: MemoryTaskWorker, taskId: string): number =>
  worker.paces.get(taskId) ?? 100;

/**
 * Makes a site of one worker whose serving tasks miss their target as soon as the filler runs at
 * all.
 */
const makeNoisySite = (servingTasks: number, recorder = new PassRecorder()) =>
  makeOwnedSite({
    recorder,
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

// Guards against an owner that looks at its jobs without a pause while starved fillers wait for capacity.
test('should not look for starved fillers without a pause if little capacity is free', async (t) => {
  const FILLERS = 8;
  const WATCHED_MS = 5_000;
  const recorder = new PassRecorder();
  const { site, owner } = await makeNoisySite(3, recorder);
  const filler = makeStep({ filler: true, image: 'noisy', checkpointing: true });
  for (let at = 0; at < FILLERS; at += 1) {
    await site.submit(owner, `0000000000000d0${at}`.padEnd(16, '0'), makeJob(filler));
  }
  await site.run(PROMISED_START_MS);
  const passesBefore = recorder.passes;
  await site.run(WATCHED_MS);
  const passes = recorder.passes - passesBefore;
  t.true(passes <= (2 * WATCHED_MS) / PASS_INTERVAL_MS, `${passes} passes`);
});
