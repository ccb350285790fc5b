/**
 * Long-running tasks whose runs end while short tasks ask for more room than there is.
 */
import test from 'ava';

import { put } from '../fixtures/bulkSite.js';
import {
  makeJob,
  makeOwnedSite,
  makeQueue,
  makeStep,
  ownerOf,
  type JobSite,
  type SiteEntry,
} from '../fixtures/jobSite.js';

const LASTING = '00000000000000a1';
const TASK = `${LASTING}.0.0.0`;
const BLOCKED = '00000000000000a2';
const BLOCKED_MILLI_CORES = 100;
const WORKERS = 4;
const WORKER_MILLI_CORES = 4_000;

/** Mean duration of short runs, in milliseconds. */
const SHORT_RUN_MS = 1_000;

/** Time within which a long-running task must run again if there is room for it, in milliseconds. */
const MAX_INTERRUPTION_MS = 6_000;

/** Step of the simulated arrivals, in milliseconds. */
const STEP_MS = 50;

/** Short tasks arrive at this multiple of the rate at which the workers can run them. */
const OVERLOAD = 1.5;

const urgent = makeQueue({ name: 'urgent', prefix: '/urgent/', priority: 0 });

const sizeOf = (milliCores: number) => ({ milliCores, memoryMb: 1_000, accelerators: 0 });

/** Submits short tasks for some time, more than there is room for. */
const overload = async (site: JobSite, milliCores: number, durationMs: number): Promise<void> => {
  const atOnce = WORKERS * Math.floor(WORKER_MILLI_CORES / milliCores);
  const perStep = (OVERLOAD * atOnce * STEP_MS) / SHORT_RUN_MS;
  const startMs = site.clock.monotonicMs();
  let submitted = 0;
  for (let at = STEP_MS; at <= durationMs; at += STEP_MS) {
    for (; submitted < (perStep * at) / STEP_MS; submitted += 1) {
      const id = (startMs * 1_000 + submitted).toString(16).padStart(16, 'b');
      put(site, urgent, [id], makeJob(makeStep({ size: sizeOf(milliCores) })));
    }
    await site.run(STEP_MS);
  }
};

/** Spreads the ends of short runs, whose room then becomes free in pieces. */
const shortRunMs = (taskId: string): number => {
  const fraction = (Number.parseInt(taskId.slice(8, 16), 16) * 0.618) % 1;
  return SHORT_RUN_MS * (0.75 + 0.5 * fraction);
};

interface LastingSite {
  readonly site: JobSite;
  readonly owner: SiteEntry;
}

const submitLasting = async (milliCores: number, shortMilliCores: number): Promise<LastingSite> => {
  const { site, owner } = await makeOwnedSite({
    workers: WORKERS,
    milliCores: WORKER_MILLI_CORES,
    behave: (taskId) => {
      if (taskId.startsWith(LASTING)) return { size: sizeOf(milliCores), durationMs: Infinity };
      if (taskId.startsWith(BLOCKED))
        return { size: sizeOf(BLOCKED_MILLI_CORES), durationMs: Infinity };
      return { size: sizeOf(shortMilliCores), durationMs: shortRunMs(taskId) };
    },
  });
  site.configure([site.queue, urgent]);
  const step = makeStep({ longRunning: true, size: sizeOf(milliCores) });
  await site.submit(owner, LASTING, makeJob(step));
  await site.run(1_000);
  return { site, owner };
};

/** Ends the run of the long-running task under load, and returns how long it stays without one. */
const interrupt = async (site: JobSite, shortMilliCores: number): Promise<number> => {
  await overload(site, shortMilliCores, 4_000);
  site.workers.forEach((worker) => worker.endRuns(LASTING, 'failed'));
  const interruptedMs = site.clock.monotonicMs();
  await overload(site, shortMilliCores, 2 * MAX_INTERRUPTION_MS);
  const [, next] = site.record.runsOf(TASK);
  return (next?.startedMs ?? Infinity) - interruptedMs;
};

// Guards against short tasks that take each room that becomes free, so that a long-running task that was
// interrupted does not run again for as long as they keep coming (LOST).
test('should run an interrupted task again while urgent ones ask for more room than there is', async (t) => {
  const { site } = await submitLasting(3_000, 3_000);
  t.true((await interrupt(site, 3_000)) <= MAX_INTERRUPTION_MS);
  t.deepEqual(site.record.violations, []);
});

// Guards against room that becomes free in pieces: each is too small for the interrupted task, and short
// tasks take it before the next one is free (LOST).
test('should run an interrupted task again that needs the room of several urgent ones', async (t) => {
  const { site } = await submitLasting(3_000, 1_000);
  t.true((await interrupt(site, 1_000)) <= MAX_INTERRUPTION_MS);
  t.deepEqual(site.record.violations, []);
});

// Guards against tasks that no worker can take soon and that come first: no worker was kept for any other
// task while they waited (LOST).
test('should run an interrupted task again behind others that no worker can take', async (t) => {
  const { site } = await submitLasting(3_000, 1_000);
  site.registerWorker('w0', { labels: ['rare'] });
  const size = sizeOf(BLOCKED_MILLI_CORES);
  const blocked = makeStep({ count: 4, longRunning: true, requiredLabel: 'rare', size });
  put(site, urgent, [BLOCKED], makeJob(blocked));
  await site.run(1_000);
  t.is(site.record.runs.filter(({ taskId }) => taskId.startsWith(BLOCKED)).length, 4);
  site.registerWorker('w0');
  await site.run(500);
  site.workers.forEach((worker) => worker.endRuns(BLOCKED, 'failed'));
  t.true((await interrupt(site, 1_000)) <= MAX_INTERRUPTION_MS);
  t.deepEqual(site.record.violations, []);
});

// Guards against a successor that takes a task whose run was lost during the takeover for one that has not
// run yet, and lets urgent ones go before it (LOST).
test('should run a task again whose run was lost while no entry owned the site', async (t) => {
  const { site, owner } = await submitLasting(3_000, 3_000);
  site.start('b');
  await overload(site, 3_000, 4_000);
  owner.kill();
  await site.run(1_000);
  site.workers.forEach((worker) => worker.restart());
  const killedMs = site.clock.monotonicMs();
  await overload(site, 3_000, 20_000);
  const firstStart = site.record.runs.find(({ startedMs }) => startedMs > killedMs);
  const [, next] = site.record.runsOf(TASK);
  t.true(
    (next?.startedMs ?? Infinity) - (firstStart?.startedMs ?? Infinity) <= MAX_INTERRUPTION_MS,
  );
  t.deepEqual(site.record.violations, []);
});

/** Time between two planned changes of the owner, in milliseconds: shorter than a task waits for its turn. */
const TERM_MS = 1_500;

// Guards against owners that count an interruption from their own takeover: while they change, urgent tasks
// go before the interrupted one for as long as the changes last (LOST).
test('should run an interrupted task again while planned changes of the owner follow one another', async (t) => {
  const { site, owner } = await submitLasting(3_000, 1_000);
  const entries = ['b', 'c', 'd', 'e', 'f', 'g', 'h'].map((name) => site.start(name));
  await overload(site, 1_000, 4_000);
  site.workers.forEach((worker) => worker.endRuns(LASTING, 'failed'));
  const interruptedMs = site.clock.monotonicMs();
  await overload(site, 1_000, TERM_MS / 2);
  owner.stop();
  for (let term = 0; term < entries.length; term += 1) {
    await overload(site, 1_000, TERM_MS);
    entries.find(({ name }) => name === ownerOf(site))?.stop();
  }
  const [, next] = site.record.runsOf(TASK);
  const awayMs = (next?.startedMs ?? Infinity) - interruptedMs;
  t.true(awayMs <= MAX_INTERRUPTION_MS, `${awayMs} ms`);
  t.deepEqual(site.record.violations, []);
});
