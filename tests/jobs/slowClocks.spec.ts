/**
 * Leases on workers whose clocks are slow, or were read long ago.
 */
import test from 'ava';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';

/** Slowest rate of a worker's clock. */
const SLOW_RATE = 0.98;

/** Time for which the workers have no runs before the job, in milliseconds. */
const IDLE_MS = 235_000;

/** Longest lease that an owner grants, in milliseconds. */
const MAX_LEASE_MS = 6_000;

/** Shortest lease that lasts until polls extend it, even if several are lost, in milliseconds. */
const MIN_LEASE_MS = 4_000;

/** Makes a site whose workers have been idle for long, and starts a task there. */
const makeIdleSite = async (clockRate: number) => {
  const { site, owner } = await makeOwnedSite({
    workers: 3,
    dataCentres: 1,
    behave: () => ({
      size: { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 },
      durationMs: Number.POSITIVE_INFINITY,
    }),
    clockRate,
  });
  await site.run(IDLE_MS);
  site.putJobs([ID], makeJob(makeStep({ longRunning: true })));
  while (site.record.runs.length === 0) await site.clock.advance(2);
  const [run] = site.record.runs;
  const worker = site.workers.get(run?.workerId ?? '');
  if (!worker) throw new Error('The task has not started.');
  return { site, owner, worker };
};

// Guards against leases that last longer than a successor waits for their end: the clock of an idle
// worker was taken to have run at our rate since it was last read.
test('should grant no longer leases on slow clocks that were read long ago', async (t) => {
  const { worker } = await makeIdleSite(SLOW_RATE);
  t.true(worker.leaseLeftMs <= MAX_LEASE_MS);
});

// Guards against a task that runs twice by such a lease.
test('should not start a task beside its run on a slow clock that was read long ago', async (t) => {
  const { site, owner, worker } = await makeIdleSite(SLOW_RATE);
  owner.kill();
  const successor = site.start('a');
  site.cutFromWorkers(successor.client, [worker.id]);
  await site.run(25_000);
  t.deepEqual(site.record.violations, []);
  t.is(site.record.runs.length, 2);
});

// Guards against starts whose leases end before a poll extends them, since a clock that was read long
// ago may be behind.
test('should grant idle workers leases that last until the polls after a start', async (t) => {
  const { site, worker } = await makeIdleSite(1);
  t.true(worker.leaseLeftMs >= MIN_LEASE_MS);
  await site.run(10_000);
  t.is(site.record.runs.length, 1);
});
