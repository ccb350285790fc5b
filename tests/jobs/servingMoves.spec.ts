/**
 * Tests moves of serving tasks that keep fillers off their workers.
 */
import test from 'ava';

import type { MemoryTaskWorker } from '../fixtures/memoryTaskWorker.js';
import {
  makeJob,
  makeOwnedSite,
  makeStep,
  type JobSite,
  type SiteEntry,
} from '../fixtures/jobSite.js';

const SENSITIVE = ['00000000000000a1', '00000000000000a2'] as const;
const TOLERANT = '00000000000000b1';
const BLOCKER = '00000000000000c1';
const NOISY = '00000000000000d1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };
const LARGE = { ...SIZE, milliCores: 3_000 };

const paceOf = (worker: MemoryTaskWorker, taskId: string): number =>
  worker.paces.get(taskId) ?? 100;

/**
 * Tail latency of a sensitive task beside noisy fillers; its inverse falls linearly with their
 * pace.
 */
const sensitiveTail = (worker: MemoryTaskWorker): number => {
  const noisyFillers = worker.activeRuns().filter(({ taskId }) => taskId.startsWith(NOISY));
  const left = noisyFillers.reduce(
    (sum, { taskId }) => sum - (0.1 * paceOf(worker, taskId)) / 100,
    0.125,
  );
  return Math.round(1 / Math.max(0.01, left));
};

const behave = (taskId: string) => {
  if (taskId.startsWith(BLOCKER)) return { size: LARGE, durationMs: Infinity };
  if (taskId.startsWith(NOISY)) {
    return {
      size: { ...SIZE, milliCores: 0 },
      durationMs: 2_000,
      gauge: (worker: MemoryTaskWorker) => 10 * paceOf(worker, taskId),
    };
  }
  const isSensitive = SENSITIVE.some((id) => taskId.startsWith(id));
  return { size: SIZE, durationMs: Infinity, gauge: isSensitive ? sensitiveTail : () => 8 };
};

const serving = (image: string) => makeStep({ longRunning: true, image, targetMs: 20 });

/**
 * Makes a site of two workers. A blocker keeps the second sensitive task off the worker of the
 * first, so that it starts beside the tolerant one. Then the blocker is cancelled.
 */
const makeSiteWithMixedWorker = async () => {
  const made = await makeOwnedSite({ workers: 2, milliCores: 4_000, behave });
  const { site, owner } = made;
  const blocker = makeStep({ longRunning: true, size: LARGE });
  const jobs = [
    [SENSITIVE[0], serving('sensitive')],
    [TOLERANT, serving('tolerant')],
    [BLOCKER, blocker],
    [SENSITIVE[1], serving('sensitive')],
  ] as const;
  for (const [id, step] of jobs) {
    await site.submit(owner, id, makeJob(step));
    await site.run(300);
  }
  await site.run(6_500);
  await site.cancel(owner, BLOCKER);
  return made;
};

const submitFillers = ({ site, owner }: { site: JobSite; owner: SiteEntry }): Promise<string> =>
  site.submit(
    owner,
    NOISY,
    makeJob(makeStep({ filler: true, image: 'noisy', count: 40, checkpointing: true })),
  );

const workersOf = (site: JobSite, jobId: string): readonly string[] =>
  site.record.runs
    .filter(({ taskId, endedMs }) => taskId.startsWith(jobId) && endedMs === undefined)
    .map(({ workerId }) => workerId);

const stopsOf = (site: JobSite, jobId: string): number =>
  site.record.runs.filter(({ taskId, kind }) => taskId.startsWith(jobId) && kind === 'stopped')
    .length;

const isMixed = (site: JobSite): boolean =>
  workersOf(site, SENSITIVE[1]).some((id) => workersOf(site, TOLERANT).includes(id));

// Guards against fillers that wait because sensitive serving tasks are spread over all workers.
test('should move a serving task that keeps fillers off its worker to the worker of its image', async (t) => {
  const made = await makeSiteWithMixedWorker();
  const { site } = made;
  t.true(isMixed(site));
  await submitFillers(made);
  await site.run(30_000);
  t.false(isMixed(site));
  t.is(stopsOf(site, SENSITIVE[1]), 1);
  t.is(workersOf(site, SENSITIVE[1]).length, 1);
  t.is(stopsOf(site, TOLERANT), 0);
  t.deepEqual(site.record.violations, []);
});

// Guards against interruptions of serving tasks that no filler benefits from.
test('should move no serving task while no filler waits', async (t) => {
  const { site } = await makeSiteWithMixedWorker();
  await site.run(30_000);
  t.true(isMixed(site));
  t.is(stopsOf(site, SENSITIVE[1]), 0);
});
