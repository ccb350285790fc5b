/**
 * Long-running tasks whose runs end while short tasks ask for more room than there is.
 */
import test from 'ava';

import { put } from '../fixtures/bulkSite.js';
import {
  makeJob,
  makeOwnedSite,
  makeStep,
  ownerOf,
  type JobSite,
  type SiteEntry,
} from '../fixtures/jobSite.js';
import {
  overload,
  SHORT_RUN_MS,
  sizeOf,
  urgent,
  WORKER_MILLI_CORES,
} from '../fixtures/overload.js';

const LASTING = '00000000000000a1';
const TASK = `${LASTING}.0.0.0`;
/** Start of the ids of several long-running jobs. */
const SERIES = '00000000000000c';
const BLOCKED = '00000000000000a2';
const BLOCKED_MILLI_CORES = 100;
const WORKERS = 4;

/** Time within which a long-running task must run again if there is room for it, in milliseconds. */
const MAX_INTERRUPTION_MS = 6_000;

/** Spreads the ends of short runs, whose room then becomes free in pieces. */
const shortRunMs = (taskId: string): number => {
  const fraction = (Number.parseInt(taskId.slice(8, 16), 16) * 0.618) % 1;
  return SHORT_RUN_MS * (0.75 + 0.5 * fraction);
};

interface LastingSite {
  readonly site: JobSite;
  readonly owner: SiteEntry;
}

const submitLasting = async (
  milliCores: number,
  shortMilliCores: number,
  { workers = WORKERS, count = 1, startCostMs = 0, speculative = false } = {},
): Promise<LastingSite> => {
  const { site, owner } = await makeOwnedSite({
    workers,
    startCostMs,
    milliCores: WORKER_MILLI_CORES,
    behave: (taskId) => {
      if (taskId.startsWith(LASTING) || taskId.startsWith(SERIES))
        return { size: sizeOf(milliCores), durationMs: Infinity };
      if (taskId.startsWith(BLOCKED))
        return { size: sizeOf(BLOCKED_MILLI_CORES), durationMs: Infinity };
      return { size: sizeOf(shortMilliCores), durationMs: shortRunMs(taskId) };
    },
  });
  site.configure([site.queue, urgent]);
  const step = makeStep({ count, longRunning: true, speculative, size: sizeOf(milliCores) });
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

/** A large site on which many long-running tasks are interrupted at the same time. */
const MANY = { workers: 20, count: 20 };

/** Interrupts all of many long-running tasks under load, and returns how long each stays without a run. */
const interruptMany = async (
  site: JobSite,
  shortMilliCores: number,
): Promise<readonly number[]> => {
  await overload(site, shortMilliCores, 4_000);
  site.workers.forEach((worker) => worker.endRuns(LASTING, 'failed'));
  const interruptedMs = site.clock.monotonicMs();
  await overload(site, shortMilliCores, 2 * MAX_INTERRUPTION_MS);
  return Array.from({ length: MANY.count }, (_, index) => {
    const [, next] = site.record.runsOf(`${LASTING}.0.0.${index}`);
    return (next?.startedMs ?? Infinity) - interruptedMs;
  });
};

// Guards against room for interrupted tasks that is made for a few of them at a time, however many wait, while
// all other room that becomes free goes to urgent tasks (LOST).
test('should run many interrupted tasks again that need the room of several urgent ones', async (t) => {
  const { site } = await submitLasting(3_000, 1_000, MANY);
  const waits = await interruptMany(site, 1_000);
  t.true(Math.max(...waits) <= MAX_INTERRUPTION_MS, String(waits));
  t.deepEqual(site.record.violations, []);
});

// Guards against urgent tasks for which nothing is left while room is made for many interrupted ones.
test('should go on starting urgent tasks while many interrupted ones wait', async (t) => {
  const { site } = await submitLasting(3_000, 1_000, MANY);
  await interruptMany(site, 1_000);
  const endMs = site.clock.monotonicMs();
  const seconds = Array.from({ length: (2 * MAX_INTERRUPTION_MS) / 1_000 }, (_, index) => {
    const untilMs = endMs - index * 1_000;
    return site.record.runs.filter(
      ({ taskId, startedMs }) =>
        !taskId.startsWith(LASTING) && startedMs <= untilMs && startedMs > untilMs - 1_000,
    ).length;
  });
  t.true(Math.min(...seconds) >= MANY.workers / 2, String(seconds));
});

/** Jobs whose tasks are interrupted one after the other, and the time between two interruptions. */
const SERIES_JOBS = 12;
const SERIES_GAP_MS = 250;

/** Time between two interruptions from which the order counts, in milliseconds. */
const ORDERED_FROM_MS = 1_000;

// Guards against interrupted tasks that are overtaken by others that were interrupted later, since each one loses
// its turn while no more workers may be reserved (LOST).
test('should run interrupted tasks again in the order in which they were interrupted', async (t) => {
  const { site, owner } = await submitLasting(3_000, 1_000, { workers: MANY.workers });
  const ids = Array.from({ length: SERIES_JOBS }, (_, index) => SERIES + index.toString(16));
  for (const id of ids)
    await site.submit(owner, id, makeJob(makeStep({ longRunning: true, size: sizeOf(3_000) })));
  await overload(site, 1_000, 4_000);
  // Jobs that were accepted first are the first of a pass, so theirs are interrupted last.
  for (const id of ids.toReversed()) {
    site.workers.forEach((worker) => worker.endRuns(id, 'failed'));
    await overload(site, 1_000, SERIES_GAP_MS);
  }
  await overload(site, 1_000, 3 * MAX_INTERRUPTION_MS);
  const restarts = ids
    .toReversed()
    .map((id) => site.record.runsOf(`${id}.0.0.0`)[1]?.startedMs ?? Infinity);
  const overtaken = restarts.filter((startedMs, index) =>
    restarts.slice(index + ORDERED_FROM_MS / SERIES_GAP_MS).some((later) => later < startedMs),
  );
  t.deepEqual(overtaken, [], String(restarts));
  t.deepEqual(site.record.violations, []);
});

/** Time after which an interrupted task waits no longer for the ones before it, in milliseconds. */
const OWED_AFTER_MS = 4_000;

// Guards against urgent tasks that take the room of each new worker, while a long-running one whose worker has
// left waits until they have run (LOST).
test('should give the room of a new worker to an interrupted task before urgent ones', async (t) => {
  const { site } = await submitLasting(4_000, 1_000, { count: WORKERS });
  site.registerWorker('w0', { phase: 'draining' });
  await overload(site, 1_000, 2_000);
  const ended = site.record.runs.filter(({ endedMs }) => endedMs !== undefined);
  t.is(ended.length, 1);
  await overload(site, 1_000, OWED_AFTER_MS);
  site.addWorker('w4');
  await overload(site, 1_000, 1_000);
  const [first] = site.record.runs.filter(({ workerId }) => workerId === 'w4');
  t.is(first?.taskId.split('.')[0], LASTING);
  t.deepEqual(site.record.violations, []);
});

/** Processor time of a start that uses up the time of a pass, in milliseconds. */
const LONG_START_MS = 40;

// Guards against passes that are cut short after the first interrupted task that is owed room, and give the rest
// of a new worker to urgent and late ones (LOST).
test('should give the whole room of a new worker to interrupted tasks while passes are cut short', async (t) => {
  const perWorker = WORKER_MILLI_CORES / 1_000;
  const { site } = await submitLasting(1_000, 1_000, {
    count: WORKERS * perWorker,
    startCostMs: LONG_START_MS,
    // Such a start need not be stored before, so that its cost falls into the pass.
    speculative: true,
  });
  site.registerWorker('w0', { phase: 'draining' });
  await overload(site, 1_000, 2_000);
  const ended = site.record.runs.filter(({ endedMs }) => endedMs !== undefined);
  t.is(ended.length, perWorker);
  await overload(site, 1_000, OWED_AFTER_MS);
  site.addWorker('w4');
  await overload(site, 1_000, 1_000);
  const first = site.record.runs
    .filter(({ workerId }) => workerId === 'w4')
    .slice(0, perWorker)
    .map(({ taskId }) => taskId.split('.')[0]);
  t.deepEqual(
    first,
    Array.from({ length: perWorker }, () => LASTING),
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

/** Tasks that are owed room, enough for passes to be cut short among them for a while. */
const OWED_WORKERS = 12;

// Guards against tasks that stay on a draining worker, although others have room, as long as passes are cut short
// among interrupted tasks.
test('should move tasks off a draining worker while passes are cut short among interrupted ones', async (t) => {
  const perWorker = WORKER_MILLI_CORES / 1_000;
  const { site } = await submitLasting(1_000, 1_000, {
    workers: OWED_WORKERS + 1,
    count: (OWED_WORKERS + 1) * perWorker,
    startCostMs: LONG_START_MS,
    speculative: true,
  });
  await site.run(5_000);
  for (let index = 0; index < OWED_WORKERS; index += 1)
    site.registerWorker(`w${index}`, { phase: 'draining' });
  await site.run(2_000 + OWED_AFTER_MS);
  for (let index = 0; index <= OWED_WORKERS; index += 1) site.addWorker(`new${index}`);
  site.registerWorker(`w${OWED_WORKERS}`, { phase: 'draining', remainingMs: 10_000 });
  const drainedMs = site.clock.monotonicMs();
  await site.run(1_000);
  const moved = site.record.runs.filter(
    ({ workerId, endedMs }) =>
      workerId === `w${OWED_WORKERS}` && endedMs !== undefined && endedMs >= drainedMs,
  );
  t.is(moved.length, perWorker);
  t.deepEqual(site.record.violations, []);
});
