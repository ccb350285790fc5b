/**
 * Interrupted tasks in a share whose owner changes while one of its workers is gone.
 */
import test, { type ExecutionContext } from 'ava';

import { makeDividedSite, makeJob, makeStep } from '../fixtures/jobSite.js';
import { sizeOf } from '../fixtures/overload.js';

const LASTING = '00000000000000a1';
const TASK = `${LASTING}.0.0.0`;

/** Time within which a long-running task runs again if there is room for it, in milliseconds. */
const PROMISED_MS = 9_000;

/** Has a task run in the second share, and replaces the owner there as the run ends and another worker is lost. */
const awayAfterSuccession = async (home: string): Promise<number> => {
  const { site, owners } = await makeDividedSite({
    workers: 8,
    behave: () => ({ size: sizeOf(1_000), durationMs: Infinity }),
  });
  site.start('c', false, 1, 'dc1');
  site.data.put('operator/evacuate/dc0', '');
  await site.run(1_000);
  site.putJobs([LASTING], makeJob(makeStep({ longRunning: true })), home);
  await site.run(2_000);
  const { workerId = '' } = site.record.runsOf(TASK)[0] ?? {};
  const interruptedMs = site.clock.monotonicMs();
  site.workers.get(workerId)?.endRuns(TASK, 'failed');
  site.registerWorker(workerId, { phase: 'draining', remainingMs: 60_000 });
  owners[1].kill();
  site.loseWorker(workerId === 'w1' ? 'w3' : 'w1');
  await site.run(20_000);
  const next = site.record.runsOf(TASK).find(({ startedMs }) => startedMs > interruptedMs);
  return Math.round((next?.startedMs ?? Infinity) - interruptedMs);
};

const checkAway = (t: ExecutionContext, awayMs: number): void => {
  t.log(`away for ${awayMs} ms`);
  t.true(awayMs <= PROMISED_MS, `away for ${awayMs} ms`);
};

// Guards against a task that waits for a worker on which it is not (LOST).
test('should run an interrupted task again in time after its home has got another owner', async (t) => {
  checkAway(t, await awayAfterSuccession('dc1'));
});

// Guards against a guest that waits for a worker on which it is not, since its place is not stored (LOST).
test('should run an interrupted guest again in time after its share has got another owner', async (t) => {
  checkAway(t, await awayAfterSuccession('dc0'));
});
