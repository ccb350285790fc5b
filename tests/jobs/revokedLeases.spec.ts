/**
 * A store that ends the lease of an owner before its time.
 */
import test from 'ava';

import { JobSite, makeJob, makeStep } from '../fixtures/jobSite.js';
import { revokeLease } from '../fixtures/revokedLease.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/**
 * Lets the owner lose its data centre's connection to the worker of the only run, and the store with its
 * lease some time later; the successor reaches the worker.
 */
const splitAfter = async (untilRevokedMs: number): Promise<JobSite> => {
  const site = new JobSite({
    workers: 2,
    dataCentres: 2,
    behave: () => ({ size: SIZE, durationMs: 60_000 }),
  });
  const former = site.start('a', false, 1, 'dc1');
  await site.run(800);
  await site.submit(former, ID, makeJob(makeStep()));
  await site.run(1_000);
  const successor = site.start('b');
  await site.run(500);
  const [run] = site.record.runs;
  if (!run) throw new Error('The task has not started.');
  site.cutFromWorkers(former.client, [run.workerId]);
  site.cutFromWorkers(
    successor.client,
    [...site.workers.keys()].filter((id) => id !== run.workerId),
  );
  await site.run(untilRevokedMs);
  const { store } = former;
  store.isCutOff = true;
  revokeLease(site);
  await site.run(12_000);
  return site;
};

// Guards against a task that runs twice: an owner whose lease the store has ended early takes a run for
// lapsed whose lease its successor has extended.
test('should take no run for lapsed while the store may have ended the lease early', async (t) => {
  const violations: string[] = [];
  for (let untilRevokedMs = 4_000; untilRevokedMs <= 5_800; untilRevokedMs += 200) {
    const site = await splitAfter(untilRevokedMs);
    violations.push(...site.record.violations.map((each) => `${untilRevokedMs} ms: ${each}`));
  }
  t.deepEqual(violations, []);
});

/** As before, with a second owner that goes by the time left in the record of the first one. */
const splitAfterHandover = async (untilRevokedMs: number): Promise<JobSite> => {
  const site = new JobSite({
    workers: 2,
    dataCentres: 2,
    behave: () => ({ size: SIZE, durationMs: 60_000 }),
  });
  const first = site.start('a', false, 1, 'dc1');
  await site.run(800);
  site.cutFromWorkers(first.client, ['w1']);
  await site.run(1_500);
  await site.submit(first, ID, makeJob(makeStep()));
  await site.run(1_000);
  site.workers.forEach(({ unreachableFrom }) => unreachableFrom.clear());
  const former = site.start('b', false, 1, 'dc1');
  await site.run(1_500);
  [first, former].forEach(({ client }) => site.cutFromWorkers(client, ['w0']));
  await site.run(2_500);
  first.stop();
  await site.run(500);
  const successor = site.start('c', false, 1, 'dc0');
  site.cutFromWorkers(successor.client, ['w1']);
  await site.run(untilRevokedMs - 3_000);
  const { store } = former;
  store.isCutOff = true;
  revokeLease(site);
  await site.run(12_000);
  return site;
};

// Guards against the same by a worker that a former owner had not reached any more.
test('should give up on no worker while the store may have ended the lease early', async (t) => {
  const violations: string[] = [];
  for (let untilRevokedMs = 4_000; untilRevokedMs <= 5_800; untilRevokedMs += 200) {
    const site = await splitAfterHandover(untilRevokedMs);
    t.deepEqual(site.record.runs[0]?.workerId, 'w0');
    violations.push(...site.record.violations.map((each) => `${untilRevokedMs} ms: ${each}`));
  }
  t.deepEqual(violations, []);
});
