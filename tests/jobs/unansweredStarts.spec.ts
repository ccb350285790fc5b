/**
 * Checks how workers are handled that answer polls but no starts.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Time between two jobs of the test, and time over which they come, in milliseconds. */
const INTERVAL_MS = 250;
const DURATION_MS = 20_000;

/** Longest time for which a task may not run although there is room for it, in milliseconds. */
const MAX_START_DELAY_MS = 3_000;

/** More orders than a worker gets in a test. */
const MANY_ORDERS = 1_000;

const makeSite = (durationMs: number) =>
  makeOwnedSite({
    workers: 8,
    milliCores: 64_000,
    behave: () => ({ size: SIZE, durationMs }),
  });

// Guards against tasks that are sent again and again to a worker that answers no starts because it stays
// the one with the most room, and so don't run although other workers have room for them (LOST).
[{ longRunning: true }, { longRunning: false }].forEach(({ longRunning }) => {
  test(`should start each ${longRunning ? 'long-running' : 'short'} task soon beside a worker that answers no starts`, async (t) => {
    const { site, owner } = await makeSite(longRunning ? Infinity : 1_000);
    const dropped = Array.from({ length: MANY_ORDERS }, () => 'dropped' as const);
    site.workers.get('w0')?.failStarts(...dropped);
    const submissions: { readonly id: string; readonly submittedMs: number }[] = [];
    for (let index = 0; index < DURATION_MS / INTERVAL_MS; index += 1) {
      const id = index.toString(16).padStart(16, '0');
      const submittedMs = site.clock.monotonicMs();
      await site.submit(owner, id, makeJob(makeStep({ longRunning })));
      await site.run(INTERVAL_MS);
      submissions.push({ id, submittedMs });
    }
    await site.run(MAX_START_DELAY_MS);
    const late = submissions.filter(({ id, submittedMs }) => {
      const [run] = site.record.runsOf(`${id}.0.0.0`);
      return (run?.startedMs ?? Infinity) - submittedMs > MAX_START_DELAY_MS;
    });
    t.is(late.length, 0, `${late.length} tasks started late`);
    t.deepEqual(site.record.violations, []);
  });
});
