/**
 * What holds while shares, homes and delegations change hands, one forced interleaving a test.
 */
import test from 'ava';
import { keysOf } from 'samphirenotch/jobs/store/jobKeys.js';

import { JobSite, makeDividedSite, makeJob, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

const behaveFor = (durationMs: number) => () => ({ size: SIZE, durationMs });

/** Moves time on until something holds; fails after a while. */
const runUntil = async (site: JobSite, holds: () => boolean): Promise<void> => {
  const LONGEST_MS = 10_000;
  const untilMs = site.clock.monotonicMs() + LONGEST_MS;
  while (!holds()) {
    if (site.clock.monotonicMs() > untilMs) throw new Error('it does not come to that');
    await site.clock.advance(2);
  }
};

/** Revision of the newest item whose key begins so; 0 if there is none. */
const revisionOf = (site: JobSite, prefix: string): number =>
  Math.max(
    0,
    ...[...site.data.items.values()]
      .filter(({ key }) => key.startsWith(prefix))
      .map(({ revision }) => revision),
  );

const ownerOf = (site: JobSite, share: string): string =>
  site.data.items.get(keysOf(share).owner)?.value.split(' ')[0] ?? '';

// A successor of the home tells the other share again, which makes an old delegation look new.
test('should wait for what a former owner may have started of a delegation that is told again', async (t) => {
  const { site, owners } = await makeDividedSite({ workers: 4, behave: behaveFor(20_000) });
  const [home, guest] = owners;
  site.putJobs([ID], makeJob(makeStep({ count: 9 })), 'dc0');
  await site.run(1_000);
  const [away] = site.record.runs.filter(({ workerId }) => ['w1', 'w3'].includes(workerId));
  const guestSuccessor = site.start('c', false, 1, 'dc1');
  site.start('d', false, 1, 'dc0');
  await site.run(200);
  site.cutFromWorkers(guestSuccessor.client, [away?.workerId ?? '']);
  const { inboxPrefix, delegatedPrefix } = keysOf('dc1');
  guestSuccessor.store.unlisted.add(inboxPrefix);
  guest.kill();
  home.kill();
  await runUntil(site, () => ownerOf(site, 'dc1') === 'c' && ownerOf(site, 'dc0') === 'd');
  const electedAt = revisionOf(site, keysOf('dc1').owner);
  await runUntil(site, () => revisionOf(site, delegatedPrefix) > electedAt);
  guestSuccessor.store.unlisted.clear();
  await site.run(45_000);
  t.deepEqual(site.record.violations, []);
  t.is(await site.state(guestSuccessor, ID), 'completed');
});
