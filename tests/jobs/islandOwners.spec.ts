/**
 * An owner that goes on in a data centre that is cut off, while its successor counts the time until the
 * leases there have lapsed.
 */
import test from 'ava';

import { runUntil } from '../fixtures/jobSite.js';
import { cutOff, FAR, isOwner, makeIsland, NEAR } from '../fixtures/ownerIsland.js';

// Guards against a task that runs twice: a successor reaches a worker on which the former owner has
// nothing, so that the former owner does not learn of it and goes on with the others.
test('should wait for workers beside one that the former owner does not call', async (t) => {
  const island = await makeIsland({
    prepare: (site) => site.registerWorker('w3', { phase: 'draining' }),
  });
  const { site } = island;
  t.true((site.workers.get('w1')?.activeRuns().length ?? 0) > 0);
  await cutOff(island, ['w3']);
  await site.run(25_000);
  t.deepEqual(site.record.violations, []);
});

// Guards against the same by a worker that the former owner does not know.
test('should wait for workers beside one that the former owner does not know', async (t) => {
  const island = await makeIsland({});
  const { site } = island;
  await cutOff(island, []);
  site.addWorker('w5');
  await site.run(25_000);
  t.deepEqual(site.record.violations, []);
});

// Guards against tasks that the former owner has started since it was cut off, and that its successor
// starts as well.
test('should not start what a former owner starts beside it', async (t) => {
  const island = await makeIsland({
    durationMs: 2_700,
    tasks: 60,
    prepare: (site) => site.registerWorker('w3', { phase: 'draining' }),
  });
  const { site } = island;
  await cutOff(island, ['w3']);
  await site.run(9_600);
  // The successor reads and acknowledges the ends of what the former owner has started.
  site.healWorkers();
  site.cutFromWorkers(island.former.client, NEAR);
  await site.run(15_000);
  t.deepEqual(site.record.violations, []);
});

// Guards against the same by a worker that only the owner between the two knows.
test('should wait for workers beside one that an owner before the last does not know', async (t) => {
  const island = await makeIsland({});
  const { site, successor } = island;
  await cutOff(island, []);
  site.addWorker('w5');
  const third = site.start('c', false, 1, 'dc0');
  site.cutFromWorkers(third.client, FAR);
  await site.run(1_500);
  successor.kill();
  await site.run(25_000);
  t.deepEqual(site.record.violations, []);
});

// Guards against the same by a worker that leaves and comes back between two later owners.
test('should wait for workers beside one that an owner before the last has dropped', async (t) => {
  const island = await makeIsland({ prepare: (site) => site.addWorker('w5') });
  const { site, former, successor } = island;
  former.kill();
  await runUntil(site, () => isOwner(site, successor));
  await site.run(2_000);
  site.data.remove('workers/w5');
  await site.run(3_000);
  const third = site.start('c', false, 1, 'dc0');
  await cutOff({ site, former: successor, successor: third }, []);
  site.workers.get('w5')?.unreachableFrom.delete(third.client);
  site.registerWorker('w5');
  const fourth = site.start('d', false, 1, 'dc0');
  site.cutFromWorkers(fourth.client, FAR);
  await site.run(1_500);
  third.kill();
  await site.run(25_000);
  t.deepEqual(site.record.violations, []);
});

// Guards against the same by a worker of which the owner between the two knows another address only.
test('should wait for a worker beside one that is listed after it has got a new address', async (t) => {
  const island = await makeIsland({ workers: 3 });
  const { site, successor } = island;
  await cutOff(island, []);
  // The former owner still reaches it at its address.
  site.registerWorker('w1', { address: 'elsewhere:1' });
  site.addWorker('w5');
  const third = site.start('c', false, 1, 'dc0');
  site.cutFromWorkers(third.client, FAR);
  await site.run(1_500);
  successor.kill();
  await site.run(25_000);
  t.deepEqual(site.record.violations, []);
});
