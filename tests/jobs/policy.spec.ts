/**
 * Queues whose workers a policy service decides on.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const OTHER_ID = '00000000000000a2';

const workersOf = (runs: readonly { readonly workerId: string }[]): readonly string[] =>
  [...new Set(runs.map(({ workerId }) => workerId))].sort();

test('should start a step only on workers that the policy allows, with their tickets', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 6,
    allows: (_stepId, workerId) => workerId === 'w2' || workerId === 'w5',
  });
  await site.submit(owner, ID, makeJob(makeStep({ count: 6 }), makeStep({ after: [0] })));
  await site.run(5_000);
  t.is(await site.state(owner, ID), 'completed');
  t.deepEqual(workersOf(site.record.runs), ['w2', 'w5']);
  t.deepEqual(site.policy?.refusedStarts, []);
});

test('should ask again when tickets have ended, and not about workers that are not allowed', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 4,
    milliCores: 1_000,
    allows: (_stepId, workerId) => workerId === 'w1',
  });
  await site.submit(owner, ID, makeJob(makeStep({ count: 6 })));
  await site.run(12_000);
  t.is(await site.state(owner, ID), 'completed');
  t.deepEqual(site.policy?.refusedStarts, []);
  const [first, ...later] = site.policy?.calls ?? [];
  t.is(first?.workerIds.length, 4);
  t.true(later.length > 0);
  t.true(later.every(({ workerIds }) => workerIds.join() === 'w1'));
});

test('should ask one call at a time, about few workers', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 40, allows: () => true });
  await Promise.all([
    site.submit(owner, ID, makeJob(makeStep({ count: 4 }))),
    site.submit(owner, OTHER_ID, makeJob(makeStep({ count: 4 }))),
  ]);
  await site.run(4_000);
  t.is(await site.state(owner, ID), 'completed');
  t.is(await site.state(owner, OTHER_ID), 'completed');
  t.is(site.policy?.mostAtOnce, 1);
  t.true(site.policy?.calls.every(({ workerIds }) => workerIds.length <= 30));
});

test('should get another ticket when a worker does not take one', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    milliCores: 1_000,
    allows: () => true,
  });
  await site.submit(owner, ID, makeJob(makeStep({ count: 2 })));
  await site.run(600);
  site.policy?.revokeAll();
  await site.run(4_000);
  t.is(await site.state(owner, ID), 'completed');
  t.is(site.policy?.refusedStarts.length, 1);
});

test('should go on asking when the policy service turns calls away', async (t) => {
  const { site, owner } = await makeOwnedSite({ allows: () => true });
  if (site.policy) site.policy.failNext = 3;
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(5_000);
  t.is(await site.state(owner, ID), 'completed');
});

test('should go on after a change of owners', async (t) => {
  const { site, owner } = await makeOwnedSite({ allows: () => true });
  const other = site.start('b');
  await site.run(500);
  await site.submit(other, ID, makeJob(makeStep(), makeStep({ after: [0] })));
  await site.run(400);
  owner.kill();
  await site.run(20_000);
  t.is(await site.state(other, ID), 'completed');
  t.deepEqual(site.record.violations, []);
});
