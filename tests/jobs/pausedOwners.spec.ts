/**
 * Owners whose process stands still between a look at the clock and what they do next.
 */
import test from 'ava';
import { MAXIMUM_UNCONFIRMED_MS } from 'samphirenotch/jobs/store/term.js';

import { makeJob, makeOwnedSite, makeStep, runUntil } from '../fixtures/jobSite.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Longest lease that an owner grants, in milliseconds. */
const MAX_LEASE_MS = 6_000;

/** Time after which idle workers are polled seldom, in milliseconds. */
const IDLE_AFTER_MS = 3_000;

const makeSite = () =>
  makeOwnedSite({
    workers: 3,
    dataCentres: 1,
    behave: () => ({ size: SIZE, durationMs: Number.POSITIVE_INFINITY }),
  });

// Guards against a lease that lasts longer than a successor waits: the owner stands still after it was
// allowed to extend the lease, and before the order is sent.
test('should send the lease end of the moment at which it was allowed', async (t) => {
  const PAUSE_MS = 3_000;
  const { site } = await makeSite();
  await site.run(IDLE_AFTER_MS);
  site.startCostMs = PAUSE_MS;
  site.putJobs([ID], makeJob(makeStep({ longRunning: true })));
  await runUntil(site, () => site.record.runs.length > 0);
  const worker = site.workers.get(site.record.runs[0]?.workerId ?? '');
  const leftMs = worker?.leaseLeftMs ?? Number.POSITIVE_INFINITY;
  t.true(leftMs <= MAX_LEASE_MS - PAUSE_MS, `${leftMs} ms`);
});

// Guards against a start that takes effect after a pause that is longer than the lease.
test('should start nothing by an order that was sent after its lease', async (t) => {
  const { site, owner } = await makeSite();
  await site.run(IDLE_AFTER_MS);
  site.startCostMs = MAX_LEASE_MS + 100;
  site.putJobs([ID], makeJob(makeStep({ longRunning: true })));
  owner.store.isCutOff = true;
  await site.run(1_000);
  t.is(site.record.runs.length, 0);
});

// Guards against leases that are extended once the owner has been without a confirmed lease for too long,
// by a pass or an answer that is served before the timer that ends its term.
test('should extend no lease after a pause beyond the time without a confirmed lease', async (t) => {
  const UNTIL_PAUSE_MS = 9_000;
  for (let phaseMs = 0; phaseMs < 600; phaseMs += 150) {
    const { site, owner } = await makeSite();
    await site.run(IDLE_AFTER_MS);
    site.putJobs([ID], makeJob(makeStep({ count: 6, longRunning: true })));
    await site.run(1_000 + phaseMs);
    owner.store.isCutOff = true;
    const cutMs = site.clock.monotonicMs();
    await site.run(UNTIL_PAUSE_MS);
    const endsMs = (): number[] =>
      [...site.workers.values()].map((each) => site.clock.monotonicMs() + each.leaseLeftMs);
    const before = Math.max(...endsMs());
    t.true(before > cutMs + UNTIL_PAUSE_MS, 'the outage ends leases');
    site.clock.jump(cutMs + MAXIMUM_UNCONFIRMED_MS + 1 - site.clock.monotonicMs());
    for (let at = 0; at < 500; at += 1) {
      await site.clock.advance(2);
      const latest = Math.max(
        ...[...site.workers.values()]
          .filter(({ leaseLeftMs }) => leaseLeftMs > 0)
          .map(({ leaseLeftMs }) => site.clock.monotonicMs() + leaseLeftMs),
      );
      t.true(latest <= before, `${phaseMs} ms`);
    }
    t.is(owner.entry.status().terms.length, 0);
  }
});
