/**
 * Workers that start again after the store has ended the lease of an owner early.
 */
import test from 'ava';

import { JobSite, makeJob, makeStep } from '../fixtures/jobSite.js';
import { revokeLease } from '../fixtures/revokedLease.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

// Guards against a task that runs again after its end was acknowledged: its worker restarts after that
// and has lost the successor's fencing token, and the former owner takes the run for lost.
test('should not take a run for lost whose end a successor may have read', async (t) => {
  for (let delayMs = 0; delayMs < 1_200; delayMs += 100) {
    const site = new JobSite({
      behave: (taskId) => ({ size: SIZE, durationMs: /[01]$/u.test(taskId) ? 900 : 8_000 }),
    });
    const former = site.start('a', false, 1, 'dc0');
    await site.run(1_500);
    const successor = site.start('b', false, 1, 'dc0');
    await site.run(500);
    site.putJobs([ID], makeJob(makeStep({ count: 4 })));
    await site.run(500);
    former.store.isCutOff = true;
    site.cutFromWorkers(former.client, ['w0']);
    site.cutFromWorkers(successor.client, ['w1']);
    revokeLease(site);
    await site.run(500 + delayMs);
    const restarted = site.workers.get('w0');
    restarted?.restart();
    restarted?.unreachableFrom.clear();
    await site.run(6_000);
    t.deepEqual(site.record.violations, [], `${delayMs} ms`);
  }
});
