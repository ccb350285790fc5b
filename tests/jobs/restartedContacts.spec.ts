/**
 * A worker that restarts between its contacts with a successor and with the former owner.
 */
import test from 'ava';

import { JobSite, makeJob, makeStep, runUntil } from '../fixtures/jobSite.js';
import { isOwner } from '../fixtures/ownerIsland.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

// Guards against a task that runs twice: a worker that has forgotten the successor's fencing token answers
// the former owner for the first time, so that this extends leases that the successor counts as expired.
test('should not rule out a successor by a worker that restarted before its first answer', async (t) => {
  const site = new JobSite({
    workers: 4,
    milliCores: 8_000,
    behave: () => ({ size: SIZE, durationMs: 40_000 }),
  });
  const first = site.start('a', false, 1, 'dc0');
  await site.run(1_000);
  const former = site.start('b', false, 1, 'dc1');
  await site.run(500);
  site.cutFromWorkers(former.client, ['w3']);
  first.kill();
  await runUntil(site, () => isOwner(site, former));
  await site.run(500);
  site.putJobs([ID], makeJob(makeStep({ count: 9 })));
  await site.run(500);
  t.true((site.workers.get('w1')?.activeRuns().length ?? 0) > 0);
  const successor = site.start('c', false, 1, 'dc0');
  await site.run(500);
  const { store } = former;
  store.isCutOff = true;
  site.cutFromWorkers(former.client, ['w0', 'w2']);
  site.cutFromWorkers(successor.client, ['w1']);
  await runUntil(site, () => isOwner(site, successor));
  await site.run(200);
  const restarted = site.workers.get('w3');
  restarted?.restart();
  site.cutFromWorkers(successor.client, ['w3']);
  restarted?.unreachableFrom.delete(former.client);
  await site.run(20_000);
  t.deepEqual(site.record.violations, []);
});
