/**
 * Workers without runs, from which a former owner learns of its successor.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

const ID = '00000000000000a1';

// Guards against a task that runs twice: a former owner did not poll workers without runs, and so did
// not learn of a successor that had reached one of its data centre.
test('should learn of a successor from workers without runs', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 4,
    behave: () => ({ size: SIZE, durationMs: 600_000 }),
  });
  const successor = site.start('b');
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep({ longRunning: true })));
  await site.run(500);
  const [run] = site.record.runs;
  if (!run) throw new Error('The task has not started.');
  owner.store.isCutOff = true;
  site.cutFromWorkers(successor.client, [run.workerId]);
  await site.run(30_000);
  t.deepEqual(site.record.violations, []);
});
