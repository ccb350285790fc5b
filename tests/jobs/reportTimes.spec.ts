/**
 * Checks that reports which an owner reads late count for the time at which the worker made them.
 */
import test from 'ava';
import type { Holding, TaskWorker } from 'samphirenotch/infrastructure/taskWorker.js';
import { recordDoneRate, progressRate } from 'samphirenotch/jobs/workers/runSpeed.js';
import { RunSupervisor } from 'samphirenotch/jobs/workers/runSupervisor.js';
import { OrderBatcher } from 'samphirenotch/jobs/workers/orderBatcher.js';
import { WorkerAgent, type AgentListener } from 'samphirenotch/jobs/workers/workerAgent.js';
import { WorkerClock } from 'samphirenotch/jobs/workers/workerClock.js';
import type { WorkerFleet } from 'samphirenotch/jobs/workers/workerFleet.js';
import { Ok } from 'samphirenotch/results.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep, makeSilentAgent } from '../fixtures/silentFleet.js';

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Time after which the worker answers each long poll, in milliseconds. */
const POLL_MS = 600;

test('should convert a time of the clock of a worker to local time, however late it was read', (t) => {
  const clock = new ManualClock();
  const workerClock = new WorkerClock(clock);
  const firstMs = clock.monotonicMs();
  workerClock.addReading(5_000);
  t.is(workerClock.toLocalMs(5_000), firstMs);
  clock.jump(3_000);
  workerClock.addReading(6_000);
  t.is(workerClock.toLocalMs(6_000), firstMs + 1_000);
});

test('should not convert a time of the clock of a worker to a local time in the future', (t) => {
  const clock = new ManualClock();
  const workerClock = new WorkerClock(clock);
  t.is(workerClock.toLocalMs(5_000), clock.monotonicMs());
  workerClock.addReading(5_000);
  clock.jump(1_000);
  t.is(workerClock.toLocalMs(6_500), clock.monotonicMs());
});

const ignore = (): void => undefined;

interface AgentParts {
  readonly clock: ManualClock;
  readonly worker: Partial<TaskWorker>;
  readonly listener: Partial<AgentListener>;
  readonly ended: AbortController;
}

const makeAgent = ({ clock, worker, listener, ended }: AgentParts): WorkerAgent =>
  new WorkerAgent({
    description: makeSilentAgent(clock).description,
    connect: () => ({ close: ignore, ...worker }) as TaskWorker,
    clock,
    fencingToken: 1,
    maxLeaseMs: 6_000,
    listener: {
      onUnknownRun: () => undefined,
      onRunsAdopted: ignore,
      sizeOfUnknownRun: () => undefined,
      onRunBegun: ignore,
      onRunEnd: ignore,
      onRunLost: ignore,
      onStartUnanswered: ignore,
      onCrash: ignore,
      onRunProven: ignore,
      onTicketRefused: ignore,
      onChange: ignore,
      onFenced: ignore,
      onRestarted: ignore,
      onReplaced: ignore,
      onFullReport: ignore,
      onStaleToken: ignore,
      whenStored: async () => true,
      ...listener,
    },
    signal: ended.signal,
    batcher: new OrderBatcher(clock),
    isSoleOwner: () => true,
    wasSoleOwnerAt: () => true,
    mayExtendLease: () => true,
    leaseLimitMs: () => Infinity,
    extensionLimitMs: () => Infinity,
  });

/**
 * Creates a worker with one run, given its progress by poll; the answer to one poll is read late.
 */
const makeLateReader = (percents: readonly number[], latePoll: number, lateMs: number) => {
  const clock = new ManualClock();
  const step = makeOwnedStep(makeStep());
  const ended = new AbortController();
  const stopped: string[] = [];
  let polls = 0;
  const hold = async () => {
    await clock.sleep(POLL_MS);
    const percent = percents[Math.min(polls, percents.length - 1)] ?? 0;
    polls += 1;
    const taskId = step.tasks[0]?.id ?? '';
    const holding: Holding = {
      clockMs: clock.monotonicMs(),
      bornMs: 1,
      running: [{ taskId, run: 1, checkpoint: '', percent, gauge: 0 }],
      ends: [],
      hasMoreEnds: false,
    };
    if (polls === latePoll) await clock.sleep(lateMs);
    return Ok({ kind: 'held' as const, holding });
  };
  const stop = async ({ taskId }: { readonly taskId: string }) => {
    stopped.push(taskId);
    return Ok({ outcome: 'done' as const });
  };
  const pace = async () => Ok({ outcome: 'done' as const });
  const onUnknownRun: AgentListener['onUnknownRun'] = (adopting) =>
    step.tasks[0] && adopting.trackRun(step.tasks[0], 1, SIZE, 'running');
  const agent = makeAgent({
    clock,
    worker: { hold, stop, pace },
    listener: { onUnknownRun },
    ended,
  });
  const supervisor = new RunSupervisor({ all: () => [agent] } as unknown as WorkerFleet, clock);
  const running = agent.run();
  const end = async (): Promise<void> => {
    ended.abort();
    await clock.advance(2_000);
    await running;
  };
  return { clock, agent, supervisor, stopped, end };
};

// Guards against workers that count as slow because the owner used the time at which it read a
// report late.
test('should compute the speed of a run by the clock of its worker', async (t) => {
  const { clock, agent, end } = makeLateReader([10, 20], 2, 2_000);
  await clock.advance(3_300);
  const [run] = agent.activeRuns();
  t.is(run?.percent, 20);
  const tenPercentMs = 10 / ((run && progressRate(run)) ?? 0);
  t.true(tenPercentMs >= POLL_MS && tenPercentMs <= POLL_MS + 100);
  await end();
});

// Guards against workers that seem faster than others because their first answer was read late.
test('should compute the speed of a run by the clock of its worker from the first report', async (t) => {
  const { clock, agent, end } = makeLateReader([10, 20, 30], 1, 2_000);
  await clock.advance(3_300);
  const [run] = agent.activeRuns();
  t.is(run?.percent, 20);
  const tenPercentMs = 10 / ((run && progressRate(run)) ?? 0);
  // From the first report to the second: the delay of the first, the gap between polls and one
  // poll.
  t.true(tenPercentMs >= 2_000 + POLL_MS);
  await end();
});

// Guards against runs that are stopped as stalled because a report without progress was read late.
test('should not count a run as stalled because a report was read late', async (t) => {
  const { clock, agent, supervisor, stopped, end } = makeLateReader([10, 10], 2, 2_600);
  await clock.advance(3_900);
  t.is(agent.pollCount, 2);
  supervisor.check();
  t.deepEqual(stopped, []);
  await clock.advance(2_000);
  supervisor.check();
  t.is(stopped.length, 1);
  await end();
});

// Guards against runs that count as slow because the time in which they were paced is included.
test('should not compute the speed of a run from a report made before its last pace order', async (t) => {
  const { clock, agent, end } = makeLateReader([10, 20, 30], 2, 2_000);
  await clock.advance(2_000);
  const [run] = agent.activeRuns();
  if (!run) throw new Error('the run is not known');
  // The second report has been sent but not read.
  await agent.pace(run, 0);
  await clock.advance(500);
  await agent.pace(run, 100);
  await clock.advance(800);
  t.is(run.percent, 20);
  t.is(run.firstSample, undefined);
  await clock.advance(700);
  t.is(run.firstSample?.percent, 30);
  await end();
});

/**
 * Returns the duration that a step records for a run of one second, in milliseconds, if answers are
 * read late.
 */
const recordedDurationMs = async (lateStartMs: number, lateEndMs: number): Promise<number> => {
  const RUN_MS = 1_000;
  const clock = new ManualClock();
  const step = makeOwnedStep(makeStep());
  const [task] = step.tasks;
  if (!task) throw new Error('the step has no task');
  const ended = new AbortController();
  let endMs: number | undefined;
  const start = async () => {
    const clockMs = clock.monotonicMs();
    endMs = clockMs + RUN_MS;
    await clock.sleep(lateStartMs);
    return Ok({ outcome: 'done' as const, clockMs });
  };
  const hold = async () => {
    if (endMs !== undefined) await clock.sleep(Math.max(0, endMs - clock.monotonicMs()));
    const clockMs = clock.monotonicMs();
    const end = { sequence: 1, taskId: task.id, run: 1, kind: 'done' as const, checkpoint: '' };
    const ends = endMs === undefined ? [] : [end];
    if (endMs !== undefined) await clock.sleep(lateEndMs);
    const holding = { clockMs, bornMs: 1, running: [], ends, hasMoreEnds: false };
    return Ok({ kind: 'held' as const, holding });
  };
  const onRunEnd: AgentListener['onRunEnd'] = (_agent, run, _end, shownMs) => {
    if (run) recordDoneRate(run, shownMs);
  };
  const agent = makeAgent({ clock, worker: { start, hold }, listener: { onRunEnd }, ended });
  const running = agent.run();
  await clock.advance(200);
  agent.start(task, 1, SIZE, undefined);
  await clock.advance(5_000);
  ended.abort();
  await clock.advance(2_000);
  await running;
  return 100 / (step.completedRunRates[0] ?? 0);
};

// Guards against healthy runs that count as slow compared with a run whose start was read late.
test('should record the duration of a run if the answer to its start was read late', async (t) => {
  t.is(Math.round(await recordedDurationMs(800, 0)), 1_000);
});

// Guards against slow runs that count as healthy compared with a run whose end was read late.
test('should record the duration of a run if its end was read late', async (t) => {
  t.is(Math.round(await recordedDurationMs(0, 2_000)), 1_000);
});

// Guards against healthy runs that count as slow compared with a run that began before its owner's
// term.
test('should not record the duration of a run whose start the owner did not see', (t) => {
  const clock = new ManualClock();
  const step = makeOwnedStep(makeStep());
  const [task] = step.tasks;
  const run = task && makeSilentAgent(clock).trackRun(task, 1, SIZE, 'running');
  clock.jump(200);
  if (run) recordDoneRate(run, clock.monotonicMs());
  t.deepEqual(step.completedRunRates, []);
});
