/**
 * The store is down while workers end more small tasks than they list in one answer.
 */
import { fileURLToPath } from 'node:url';

import {
  HAS_TROUBLE,
  NotRun,
  runCase,
  Site,
  sleep,
  submissionId,
  waitUntil,
} from '../standins/site.js';

/** Just inside the site file: `platform_down`, for_s = 4.5, how = "silent lapse"; here leases pause. */
const DOWN_MS = 4_400;

const SUBMISSIONS = 72;
const TASKS = 36;

/** Time in which the submissions are handed in, in milliseconds. */
const RAMP_MS = 10_000;

/** Time from the last hand-in to the first end of a task, in milliseconds. */
const LEAST_WORK_MS = 4_000;

/** Time over which the ends of all tasks are spread evenly, in milliseconds. */
const SPREAD_MS = 6_000;

const site = new Site({ folder: fileURLToPath(new URL('.', import.meta.url)), workers: 2 });

const countRuns = () => [...site.recorder.runsByTask.values()].flat().length;

/** Starts after a run that ended `done`, if that end was taken note of then or later. */
const repeats = () =>
  [...site.recorder.runsByTask.values()].flatMap((runs) =>
    runs.flatMap((run) => {
      const done = runs.find(
        ({ kind, endMs, acknowledgedMs, hasLapsed }) =>
          kind === 'done' && endMs < run.startMs && acknowledgedMs !== undefined && !hasLapsed,
      );
      return done
        ? [
            `TWICE: ${run.task} run ${run.run} was started on ${run.worker} at ${run.startMs} ms; run ${done.run} had ended done on ${done.worker} at ${done.endMs} ms, taken note of at ${done.acknowledgedMs} ms`,
          ]
        : [];
    }),
  );

await runCase(site, async () => {
  const beginMs = performance.now();
  for (let number = 0; number < SUBMISSIONS; number += 1) {
    const sinceMs = performance.now() - beginMs;
    const workMs = Math.round(LEAST_WORK_MS + Math.max(0, RAMP_MS - sinceMs));
    await site.submit('runs', submissionId(number), {
      Spec: JSON.stringify({ workMs: [workMs], spreadMs: SPREAD_MS, count: TASKS }),
      Steps: [{ Count: TASKS, Cpu: 8, MemMb: 32, EstimateMs: workMs }],
    });
    await sleep(Math.max(0, (RAMP_MS * (number + 1)) / SUBMISSIONS - sinceMs - 40));
  }
  const firstEndMs = RAMP_MS + LEAST_WORK_MS;
  const leftMs = beginMs + firstEndMs - 200 - performance.now();
  const areStarted = await waitUntil(() => countRuns() >= SUBMISSIONS * TASKS, leftMs);
  site.recorder.note(`${countRuns()} of ${SUBMISSIONS * TASKS} tasks were started`);
  if (!areStarted) throw new NotRun('not all tasks were started before the first one ended');
  await sleep(beginMs + firstEndMs - performance.now());
  if (HAS_TROUBLE) {
    site.recorder.note('the store is down');
    await site.store.beSilent(DOWN_MS);
    site.recorder.note('the store is back');
  }
  await sleep(15_000);
  return repeats();
});
