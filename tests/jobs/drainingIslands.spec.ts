/**
 * Workers that drain while their owner is cut off with them.
 */
import test from 'ava';

import { cutOff, makeIsland } from '../fixtures/ownerIsland.js';

// Guards against a task that runs twice: a worker that drains is missing in the directory because it is
// cut off, and its former owner still extends its lease.
test('should wait for the lease of a worker that drains and is no longer listed', async (t) => {
  const island = await makeIsland({ workers: 3 });
  const { site } = island;
  t.true((site.workers.get('w1')?.activeRuns().length ?? 0) > 0);
  site.registerWorker('w1', { phase: 'draining' });
  await site.run(1_500);
  await cutOff(island, []);
  site.data.remove('workers/w1');
  await site.run(25_000);
  t.deepEqual(site.record.violations, []);
});
