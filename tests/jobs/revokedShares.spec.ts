/**
 * Owners of a share that take in tasks of another share after the store has ended their lease.
 */
import test from 'ava';

import { makeDividedSite, makeJob, makeStep } from '../fixtures/jobSite.js';
import { revokeLease } from '../fixtures/revokedLease.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

// Guards against a task that runs twice: an owner whose lease has ended hears of a delegation before it
// hears of its successor, which starts the same tasks.
test('should not start a delegation that belongs to a successor', async (t) => {
  for (let delayMs = 0; delayMs < 1_200; delayMs += 50) {
    const { site, owners } = await makeDividedSite({
      workers: 4,
      behave: () => ({ size: SIZE, durationMs: 8_000 }),
    });
    const [, former] = owners;
    const successor = site.start('c', false, 1, 'dc1');
    site.data.put('operator/evacuate/dc0', '');
    const startAtMs = site.clock.wallMs() + 1_500 + delayMs;
    const job = { ...makeJob(makeStep({ count: 4 })), repeatCount: 1, startAtMs };
    site.putJobs([ID], job, 'dc0');
    await site.run(1_500);
    // The watch of jobs and owners is late, that of the inbox is not.
    former.store.unwatched.add('jobs/');
    former.store.unansweredLeaseCalls.add('renewLease');
    site.cutFromWorkers(former.client, ['w3']);
    site.cutFromWorkers(successor.client, ['w1']);
    revokeLease(site, 'dc1');
    await site.run(6_000);
    t.deepEqual(site.record.violations, [], `${delayMs} ms`);
  }
});
