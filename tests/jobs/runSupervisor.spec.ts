/**
 * Checks how runs on draining and hanging workers are moved.
 */
import test from 'ava';
import { remainingRunMs, RunSupervisor } from 'samphirenotch/jobs/workers/runSupervisor.js';
import type { WorkerFleet } from 'samphirenotch/jobs/workers/workerFleet.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import type { MemoryTaskWorker } from '../fixtures/memoryTaskWorker.js';
import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep, makeSilentAgent, addRunningRun } from '../fixtures/silentFleet.js';

const SERVING = '00000000000000b1';
const FILLER = '00000000000000c1';
const ID = '00000000000000a1';
/** Longest time for which a task is away when it moves, in milliseconds. */
const MAX_MOVE_MS = 1_000;

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

test('should move long-running tasks off a worker that drains', async (t) => {
  const { site, owner } = await makeOwnedSite({
    behave: () => ({ size: SIZE, durationMs: Infinity }),
  });
  await site.submit(owner, ID, makeJob(makeStep({ count: 4, longRunning: true })));
  await site.run(1_000);
  t.true(site.workers.get('w0')?.activeRuns().length === 2);
  site.registerWorker('w0', { phase: 'draining', remainingMs: 2_000 });
  await site.run(1_500);
  t.is(site.workers.get('w0')?.activeRuns().length, 0);
  t.is(site.workers.get('w1')?.activeRuns().length, 4);
  t.deepEqual(site.record.violations, []);
});

/** Creates a site with a long-running task on a worker, and one other worker that is full for 4 s. */
const makeFullSite = async () => {
  const { site, owner } = await makeOwnedSite({
    behave: (taskId) => ({
      size: taskId.startsWith(SERVING) ? SIZE : { ...SIZE, milliCores: 4_000 },
      durationMs: taskId.startsWith(SERVING) ? Infinity : 4_000,
    }),
  });
  await site.submit(owner, SERVING, makeJob(makeStep({ longRunning: true })));
  await site.run(500);
  const size = { ...SIZE, milliCores: 4_000 };
  await site.submit(owner, ID, makeJob(makeStep({ size, estimateMs: 4_000 })));
  await site.run(500);
  const [lasting] = site.record.runsOf(`${SERVING}.0.0.0`);
  const drain = (remainingMs: number): void =>
    site.registerWorker(lasting?.workerId ?? '', { phase: 'draining', remainingMs });
  return { site, drain };
};

// Guards against a task that is away for seconds because it left a draining worker, which would have stayed
// meanwhile, before there was room elsewhere (LOST).
test('should move a long-running task off a worker that drains once another has room', async (t) => {
  const { site, drain } = await makeFullSite();
  drain(8_000);
  await site.run(7_000);
  const [first, second] = site.record.runsOf(`${SERVING}.0.0.0`);
  t.true((second?.startedMs ?? Infinity) - (first?.endedMs ?? 0) <= MAX_MOVE_MS);
  t.deepEqual(site.record.violations, []);
});

// Guards against a run that its worker takes along because no other has room: until its lease has lapsed,
// its task cannot start again.
test('should stop a long-running task before its worker leaves if no other has room', async (t) => {
  const { site, drain } = await makeFullSite();
  drain(2_000);
  await site.run(1_500);
  const [first] = site.record.runsOf(`${SERVING}.0.0.0`);
  t.not(first?.endedMs, undefined);
  t.is(site.record.runsOf(`${SERVING}.0.0.0`).length, 1);
});

// Guards against an owner that counts on an announcement of unknown age, and loses runs with their worker.
test('should let long-running tasks stay only where it saw the announcement', (t) => {
  const clock = new ManualClock();
  const announced = { phase: 'draining', remainingMs: 8_000 } as const;
  const found = makeSilentAgent(clock, announced);
  const seen = makeSilentAgent(clock);
  seen.updateDescription({ ...seen.description, ...announced });
  const runs = [found, seen].map((agent) =>
    addRunningRun(agent, makeOwnedStep(makeStep({ longRunning: true }))),
  );
  const fleet = { all: () => [found, seen] } as unknown as WorkerFleet;
  const supervisor = new RunSupervisor(fleet, clock);
  const phases = (): readonly string[] => runs.map(({ phase }) => phase);
  supervisor.check();
  t.deepEqual(phases(), ['stopping', 'running']);
  clock.jump(7_500);
  supervisor.check();
  t.deepEqual(phases(), ['stopping', 'stopping']);
});

// Guards against an owner that takes the time that is left for the time from the announcement on, and stops
// long-running tasks when half of it has passed.
test('should let long-running tasks stay while their worker reports how much time is left', (t) => {
  const clock = new ManualClock();
  const agent = makeSilentAgent(clock);
  const run = addRunningRun(agent, makeOwnedStep(makeStep({ longRunning: true })));
  const supervisor = new RunSupervisor({ all: () => [agent] } as unknown as WorkerFleet, clock);
  const announcement = { laterThan: 1, notBeforeMs: clock.monotonicMs() };
  for (let remainingMs = 7_000; remainingMs >= 1_000; remainingMs -= 1_000) {
    agent.updateDescription({ ...agent.description, phase: 'draining', remainingMs }, announcement);
    supervisor.check();
    t.is(run.phase, remainingMs > 1_500 ? 'running' : 'stopping', `${remainingMs} ms left`);
    clock.jump(1_000);
  }
});

test('should not stop a task that ends before its draining worker leaves', async (t) => {
  const { site, owner } = await makeOwnedSite({
    behave: () => ({ size: SIZE, durationMs: 1_500 }),
  });
  await site.submit(owner, ID, makeJob(makeStep({ count: 2, checkpointing: true })));
  await site.run(300);
  site.registerWorker('w0', { phase: 'draining', remainingMs: 10_000 });
  await site.run(3_000);
  t.is(site.record.runs.length, 2);
  t.is(await site.state(owner, ID), 'completed');
});

test('should restart a task without progress on another worker', async (t) => {
  const { site, owner } = await makeOwnedSite({
    behave: () => ({ size: SIZE, durationMs: 12_000 }),
  });
  site.workers.get('w0')?.hang();
  site.workers.get('w1')?.hang();
  await site.submit(owner, ID, makeJob(makeStep()));
  await site.run(600);
  const [first] = site.record.runs;
  site.workers.forEach((worker) => worker.hang(worker.id === first?.workerId));
  await site.run(4_500);
  t.is(site.record.runs.length, 2);
  t.not(site.record.runs[1]?.workerId, first?.workerId);
  t.deepEqual(site.record.violations, []);
});

/**
 * Creates a site where the tail latency of a serving task rises while long fillers run beside it.
 */
const makeMixedSite = (workers: number) =>
  makeOwnedSite({
    workers,
    milliCores: 4_000,
    behave: (taskId) => {
      if (!taskId.startsWith(SERVING)) {
        const gauge = (worker: MemoryTaskWorker): number => 10 * (worker.paces.get(taskId) ?? 100);
        return { size: { ...SIZE, milliCores: 0 }, durationMs: 120_000, gauge };
      }
      // The inverse of the tail latency falls as the pace of each filler rises, as on real workers.
      const inverseTail = (worker: MemoryTaskWorker): number =>
        worker
          .activeRuns()
          .filter((run) => run.taskId.startsWith(FILLER))
          .reduce((left, run) => left - (0.9 * (worker.paces.get(run.taskId) ?? 100)) / 100, 0.2);
      return {
        size: SIZE,
        durationMs: Infinity,
        gauge: (worker) => Math.round(1 / Math.max(0.01, inverseTail(worker))),
      };
    },
  });

const serving = makeStep({ longRunning: true, image: 'served', targetMs: 20, count: 1 });
const filler = makeStep({ filler: true, image: 'loud', checkpointing: true, estimateMs: 120_000 });

test('should stop fillers within seconds while a serving task misses its target', async (t) => {
  const { site, owner } = await makeMixedSite(1);
  await site.submit(owner, SERVING, makeJob(serving));
  await site.run(2_000);
  await site.submit(owner, FILLER, makeJob(filler));
  await site.run(3_000);
  const [worker] = site.workers.values();
  t.true(worker?.paceOrders.includes(0), `paces: ${worker?.paceOrders.join(' ')}`);
});

/**
 * Creates a fleet of one worker with one filler at a given pace, and records why runs are stopped.
 */
const makePacedFleet = (pace: number) => {
  const clock = new ManualClock();
  const stopped: string[] = [];
  const run = {
    task: { step: { spec: { ...filler, longRunning: false } } },
    phase: 'running',
    pace,
    percent: 50,
    startedMs: clock.monotonicMs(),
    progressedMs: clock.monotonicMs(),
    reportedMs: clock.monotonicMs(),
  };
  const agent = {
    isResponsive: true,
    description: { phase: 'ready' },
    avoidUntilMs: 0,
    activeRuns: () => [run],
    stop: (_run: unknown, reason: string) => stopped.push(reason),
  };
  const fleet = { all: () => [agent] } as unknown as WorkerFleet;
  return { clock, run, stopped, supervisor: new RunSupervisor(fleet, clock) };
};

test('should move a filler that has been paused for long, but not one that is only slowed', (t) => {
  const paused = makePacedFleet(0);
  paused.clock.jump(1_000);
  paused.supervisor.check();
  t.deepEqual(paused.stopped, []);
  paused.clock.jump(500);
  paused.supervisor.check();
  t.is(paused.stopped.length, 1);
  const slow = makePacedFleet(40);
  slow.clock.jump(1_500);
  slow.supervisor.check();
  t.deepEqual(slow.stopped, []);
});

// Guards against an owner that is delayed itself and counts runs as stalled that it did not poll
// meanwhile.
test('should not count a run as stalled that was not reported meanwhile', (t) => {
  const { clock, run, stopped, supervisor } = makePacedFleet(100);
  clock.jump(3_000);
  supervisor.check();
  t.deepEqual(stopped, []);
  run.reportedMs = clock.monotonicMs();
  clock.jump(200);
  supervisor.check();
  t.deepEqual(stopped, ['it makes no progress']);
});

// Guards against runs that count as slow, and are stopped, because they were not polled for a
// while.
test('should not count a run as slower because it was not polled', (t) => {
  const clock = new ManualClock();
  const run = addRunningRun(makeSilentAgent(clock), makeOwnedStep(makeStep()));
  clock.jump(1_000);
  run.percent = 50;
  run.reportedMs = clock.monotonicMs();
  t.is(remainingRunMs(run, clock.monotonicMs()), 1_000);
  clock.jump(400);
  t.is(remainingRunMs(run, clock.monotonicMs()), 600);
  clock.jump(2_000);
  t.is(remainingRunMs(run, clock.monotonicMs()), 0);
});

// Guards against runs that count as slow because their start order waited to be sent.
test('should count the time of a run from its beginning on the worker', (t) => {
  const clock = new ManualClock();
  const run = addRunningRun(makeSilentAgent(clock), makeOwnedStep(makeStep()));
  clock.jump(2_000);
  run.startAnsweredMs = clock.monotonicMs();
  t.is(remainingRunMs(run, clock.monotonicMs()), 1_000);
  clock.jump(500);
  run.percent = 50;
  run.reportedMs = clock.monotonicMs();
  t.is(remainingRunMs(run, clock.monotonicMs()), 500);
});
