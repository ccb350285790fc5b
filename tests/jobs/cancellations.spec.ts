/**
 * Guarantees for jobs after their cancellation was acknowledged.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';

/** The platform's time limit for starts after an acknowledged cancellation, in milliseconds. */
const CANCEL_BOUND_MS = 4_000;

// Guards against an owner that keeps starting tasks of a cancelled job: its watch on jobs gets no
// answer, so it does not receive the cancellation that another entry has stored.
test('should start no task of a cancelled job while the watch on jobs is not answered', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 1, milliCores: 1_000 });
  const other = site.start('b');
  await site.run(500);
  await site.submit(owner, ID, makeJob(makeStep({ count: 20 })));
  await site.run(500);
  owner.store.isDeaf = true;
  t.is(await site.cancel(other, ID), 'done');
  const cancelledMs = site.clock.monotonicMs();
  await site.run(12_000);
  const late = site.record.runs
    .map(({ startedMs }) => startedMs - cancelledMs)
    .filter((afterMs) => afterMs > CANCEL_BOUND_MS);
  t.deepEqual(late, []);
});
