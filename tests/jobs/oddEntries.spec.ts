/**
 * Entries of the directory that another writer has left or spoiled.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const ODD_ADDRESS = '%zz:80';

// Guards against a worker that is never used again after calls to it threw, although its entry was
// put right.
test('should use a worker again whose calls threw until its entry was put right', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 1 });
  const worker = site.workers.get('w0');
  if (!worker) throw new Error('no worker');
  worker.throwingAddress = ODD_ADDRESS;
  site.registerWorker('w0', { address: ODD_ADDRESS });
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep({ count: 2 })));
  await site.run(3_000);
  t.is(site.record.runs.length, 0);
  site.registerWorker('w0');
  await site.run(6_000);
  t.is(await site.state(owner, ID), 'completed');
  t.deepEqual(site.record.violations, []);
});

// Guards against a follower, and with it a process, that ends because a client cannot be created.
test('should go on with the other workers beside an entry that no client can be created for', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 1 });
  // No worker of this id exists, so the directory of the fixture throws.
  site.registerWorker('w7');
  await site.run(500);
  site.addWorker('w1');
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep({ count: 6 })));
  await site.run(3_000);
  t.is(await site.state(owner, ID), 'completed');
  t.is(new Set(site.record.runs.map(({ workerId }) => workerId)).size, 2);
  t.deepEqual(site.record.violations, []);
});
