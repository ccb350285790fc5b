/**
 * Starts while the owner's view of the workers is old.
 */
import test from 'ava';
import { WHOLE_SITE_SHARE_ID } from 'samphirenotch/jobs/model/shareLayout.js';
import { keysOfShare } from 'samphirenotch/jobs/store/jobKeys.js';

import { makeJob, makeOwnedSite, makeStep, runUntil, type JobSite } from '../fixtures/jobSite.js';
import type { TaskBehaviour } from '../fixtures/memoryTaskWorker.js';

const ID = '00000000000000a1';
const { ownerPrefix: OWNER_PREFIX, journal: JOURNAL_KEY } = keysOfShare(WHOLE_SITE_SHARE_ID);

/** Keys of the workers in the store. */
const WORKERS_PREFIX = 'workers/';

/** Time from an announcement after which nothing may be started on the worker, in milliseconds. */
const DRAIN_MS = 2_000;

/** Time for which the worker stays, in milliseconds. */
const STAY_MS = 20_000;

/** Time in which starts resume once the workers are known again, in milliseconds. */
const RESUME_MS = 2_000;

/** Time between two entries that a worker writes of itself, in milliseconds. */
const HEARTBEAT_MS = 500;

/** Longest time for which a task waits because an outage begins, in milliseconds. */
const MAX_OUTAGE_WAIT_MS = 400;

/** Time that the store takes for an answer, in milliseconds, as on a starved machine. */
const SLOW_MS = 300;

const drain = (site: JobSite): void =>
  site.registerWorker('w0', { phase: 'draining', remainingMs: STAY_MS });

const workersOf = (site: JobSite): readonly string[] => [
  ...new Set(site.record.runs.map(({ workerId }) => workerId)),
];

/** Tasks that need both workers, unless some of them wait. */
const makeTasks = () => makeJob(makeStep({ count: 8 }));

// Guards against starts on a worker that has announced that it leaves, as its owner has no news of workers
// while it has news of jobs.
test('should start nothing on a draining worker while the news of workers is late', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 2 });
  owner.store.unwatched.add(WORKERS_PREFIX);
  await site.run(1_000);
  drain(site);
  await site.run(DRAIN_MS + 100);
  site.putJobs([ID], makeTasks());
  await site.run(500);
  owner.store.unwatched.delete(WORKERS_PREFIX);
  await runUntil(site, () => site.record.runs.length > 0);
  await site.run(RESUME_MS);
  t.deepEqual(workersOf(site), ['w1']);
});

// Guards against the same by a successor that has read the list of workers long before its first pass.
test('should start nothing on a worker that announced its end during a slow take-over', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 2 });
  const successor = site.start('b');
  await site.run(500);
  owner.kill();
  site.putJobs([ID], makeTasks());
  await runUntil(site, () => !site.data.items.has(keysOfShare(WHOLE_SITE_SHARE_ID).owner));
  successor.store.latencyMs = () => SLOW_MS;
  successor.store.unlisted.add(OWNER_PREFIX);
  await runUntil(
    site,
    () => site.data.items.get(JOURNAL_KEY)?.value.split(' ')[0] === successor.client,
  );
  await site.run(2 * SLOW_MS);
  drain(site);
  await site.run(DRAIN_MS + 100);
  successor.store.unlisted.delete(OWNER_PREFIX);
  await runUntil(site, () => site.record.runs.length > 0);
  await site.run(RESUME_MS);
  t.deepEqual(workersOf(site), ['w1']);
});

// Guards against starts that wait in an outage of the store, in which nobody can announce anything.
test('should go on starting tasks in an outage of the store', async (t) => {
  const { site, owner } = await makeOwnedSite({ workers: 2 });
  await site.run(1_000);
  site.putJobs([ID], makeJob(makeStep(), makeStep({ after: [0] })));
  await runUntil(site, () => site.record.runs.length === 1);
  owner.store.isCutOff = true;
  await site.run(6_000);
  t.is(site.record.runs.length, 2);
});

// Guards against tasks that wait as an outage begins, until the owner knows that nobody can announce anything.
for (const leftMs of [200, 600, 1_000, 1_400, 1_800, 2_200]) {
  test(`should start a task whose turn comes ${leftMs} ms after the begin of an outage`, async (t) => {
    const size = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };
    const behave = (): TaskBehaviour => ({ size, durationMs: 2_500 });
    const waits: number[] = [];
    for (const phaseMs of [0, 100, 200, 300, 400, 500, 600]) {
      const { site, owner } = await makeOwnedSite({ workers: 2, behave });
      const runWithHeartbeats = async (durationMs: number): Promise<void> => {
        for (let at = 0; at < durationMs; at += HEARTBEAT_MS) {
          site.registerWorker('w0');
          await site.run(Math.min(HEARTBEAT_MS, durationMs - at));
        }
      };
      await runWithHeartbeats(1_000 + phaseMs);
      site.putJobs([ID], makeJob(makeStep(), makeStep({ after: [0] })));
      await runUntil(site, () => site.record.runs.length === 1);
      await runWithHeartbeats(2_500 - leftMs);
      owner.store.isCutOff = true;
      await runUntil(site, () => site.record.runs.length === 2);
      const [first, second] = site.record.runs;
      waits.push((second?.startedMs ?? Infinity) - (first?.endedMs ?? 0));
    }
    t.true(Math.max(...waits) <= MAX_OUTAGE_WAIT_MS, `${waits.join(' ')} ms`);
  });
}
