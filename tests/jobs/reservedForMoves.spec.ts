/**
 * Workers that are reserved for tasks which move off a draining worker.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const OTHERS = 20;
const JOBS = 8;
const ID = '00000000000000a1';
const SIZE = { milliCores: 400, memoryMb: 1_000, accelerators: 0 };
const WHOLE = { ...SIZE, milliCores: 4_000 };

// Guards against a drain that keeps a large part of the workers from all other tasks.
test('should reserve no more workers for moves than may be reserved at once', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    behave: (taskId) => ({
      size: taskId.startsWith(ID) ? WHOLE : SIZE,
      durationMs: taskId.startsWith(ID) ? 2_000 : Infinity,
    }),
  });
  for (let at = 0; at < JOBS; at += 1)
    await site.submit(
      owner,
      `00000000000000b${at}`,
      makeJob(makeStep({ longRunning: true, size: SIZE })),
    );
  await site.run(500);
  t.is(site.workers.get('w0')?.activeRuns().length, JOBS);
  for (let at = 1; at <= OTHERS; at += 1) site.addWorker(`w${at}`);
  await site.run(1_000);
  const first = site.workers.get('w0');
  if (first) first.dropsStops = true;
  site.registerWorker('w0', { phase: 'draining', remainingMs: 8_000 });
  await site.run(800);
  site.putJobs([ID], makeJob(makeStep({ count: OTHERS, size: WHOLE })));
  await site.run(500);
  const started = site.record.runs.filter(({ taskId }) => taskId.startsWith(ID)).length;
  t.true(started >= OTHERS - 1, `${started} started`);
  t.deepEqual(site.record.violations, []);
});
