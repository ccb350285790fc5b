/**
 * Reports of runs that an owner reads late: they tell of the time at which their worker made them.
 */
import test from 'ava';
import type { Holding, TaskWorker } from 'samphirenotch/infrastructure/taskWorker.js';
import { rateOf } from 'samphirenotch/jobs/runSpeed.js';
import { RunWatch } from 'samphirenotch/jobs/runWatch.js';
import { WorkerAgent, type AgentListener } from 'samphirenotch/jobs/workerAgent.js';
import { WorkerClock } from 'samphirenotch/jobs/workerClock.js';
import type { WorkerFleet } from 'samphirenotch/jobs/workerFleet.js';
import { Ok } from 'samphirenotch/results.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep, makeStillAgent } from '../fixtures/stillFleet.js';

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Time that a worker holds each look, in milliseconds. */
const LOOK_MS = 600;

test('should tell when the clock of a worker showed a time, however late it was read', (t) => {
  const clock = new ManualClock();
  const workerClock = new WorkerClock(clock);
  const firstMs = clock.monotonicMs();
  workerClock.read(5_000);
  t.is(workerClock.whenShown(5_000), firstMs);
  clock.jump(3_000);
  workerClock.read(6_000);
  t.is(workerClock.whenShown(6_000), firstMs + 1_000);
});

test('should not tell that the clock of a worker showed a time later than now', (t) => {
  const clock = new ManualClock();
  const workerClock = new WorkerClock(clock);
  t.is(workerClock.whenShown(5_000), clock.monotonicMs());
  workerClock.read(5_000);
  clock.jump(1_000);
  t.is(workerClock.whenShown(6_500), clock.monotonicMs());
});

/** A worker with one run of given percents by look, one of whose answers waits to be read. */
const makeLateReader = (percents: readonly number[], lateLook: number, lateMs: number) => {
  const clock = new ManualClock();
  const step = makeOwnedStep(makeStep());
  const ended = new AbortController();
  const stopped: string[] = [];
  let looks = 0;
  const hold = async () => {
    await clock.sleep(LOOK_MS);
    const percent = percents[Math.min(looks, percents.length - 1)] ?? 0;
    looks += 1;
    const taskId = step.tasks[0]?.id ?? '';
    const holding: Holding = {
      clockMs: clock.monotonicMs(),
      bornMs: 1,
      running: [{ taskId, run: 1, checkpoint: '', percent, gauge: 0 }],
      ends: [],
    };
    if (looks === lateLook) await clock.sleep(lateMs);
    return Ok({ kind: 'held' as const, holding });
  };
  const stop = async ({ taskId }: { readonly taskId: string }) => {
    stopped.push(taskId);
    return Ok({ outcome: 'done' as const });
  };
  const pace = async () => Ok({ outcome: 'done' as const });
  const ignore = (): void => undefined;
  const listener: AgentListener = {
    onUnknownRun: (agent) => step.tasks[0] && agent.adopt(step.tasks[0], 1, SIZE, 'running'),
    sizeOfUnknown: () => undefined,
    onBegun: ignore,
    onEnd: ignore,
    onGone: ignore,
    onTicketRefused: ignore,
    onChange: ignore,
    onFenced: ignore,
    onStaleToken: ignore,
    stored: async () => true,
  };
  const agent = new WorkerAgent({
    description: makeStillAgent(clock).description,
    connect: () => ({ hold, stop, pace, close: ignore }) as unknown as TaskWorker,
    clock,
    fencingToken: 1,
    holdLimitMs: 6_000,
    listener,
    signal: ended.signal,
    isSoleOwner: () => true,
  });
  const watch = new RunWatch({ all: () => [agent] } as unknown as WorkerFleet, clock);
  const running = agent.run();
  const end = async (): Promise<void> => {
    ended.abort();
    await clock.advance(2_000);
    await running;
  };
  return { clock, agent, watch, stopped, end };
};

// Guards against workers that count as slow, by the time of reading, when the owner read late.
test('should tell the speed of a run by the clock of its worker', async (t) => {
  const { clock, agent, end } = makeLateReader([10, 20], 2, 2_000);
  await clock.advance(3_300);
  const [run] = agent.activeRuns();
  t.is(run?.percent, 20);
  const tenPercentMs = 10 / ((run && rateOf(run)) ?? 0);
  t.true(tenPercentMs >= LOOK_MS && tenPercentMs <= LOOK_MS + 100);
  await end();
});

// Guards against workers that seem fast beside others because their first answer was read late.
test('should tell the speed of a run by the clock of its worker from the first report', async (t) => {
  const { clock, agent, end } = makeLateReader([10, 20, 30], 1, 2_000);
  await clock.advance(3_300);
  const [run] = agent.activeRuns();
  t.is(run?.percent, 20);
  const tenPercentMs = 10 / ((run && rateOf(run)) ?? 0);
  // From the first report to the second: the first one's wait, the gap between looks, a look.
  t.true(tenPercentMs >= 2_000 + LOOK_MS);
  await end();
});

// Guards against runs that are stopped because a report without progress waited to be read.
test('should not take a run for stalled by a report that was read late', async (t) => {
  const { clock, agent, watch, stopped, end } = makeLateReader([10, 10], 2, 2_600);
  await clock.advance(3_900);
  t.is(agent.looks, 2);
  watch.check();
  t.deepEqual(stopped, []);
  await clock.advance(2_000);
  watch.check();
  t.is(stopped.length, 1);
  await end();
});

// Guards against runs that count as slow by the time in which they were paced.
test('should not tell the speed of a run from a report made before its pace was ordered', async (t) => {
  const { clock, agent, end } = makeLateReader([10, 20, 30], 2, 2_000);
  await clock.advance(2_000);
  const [run] = agent.activeRuns();
  if (!run) throw new Error('the run is not known');
  // The second report is on its way.
  await agent.pace(run, 0);
  await clock.advance(500);
  await agent.pace(run, 100);
  await clock.advance(800);
  t.is(run.percent, 20);
  t.is(run.sighted, undefined);
  await clock.advance(700);
  t.is(run.sighted?.percent, 30);
  await end();
});
