/**
 * Workers whose capacity shrinks and grows while they run.
 */
import test from 'ava';
import type { RunOrder } from 'samphirenotch/infrastructure/taskWorker.js';
import { OrderBatcher } from 'samphirenotch/jobs/workers/orderBatcher.js';
import { WorkerAgent } from 'samphirenotch/jobs/workers/workerAgent.js';
import { Ok } from 'samphirenotch/results.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep, makeSilentAgent, NOOP_LISTENER } from '../fixtures/silentFleet.js';

/** Number of orders that are sent in one turn, or more. */
const FULL_TURN = 64;

const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

const capacityOf = (milliCores: number) => ({ milliCores, memoryMb: 32_000, accelerators: 0 });

const makeAgent = async () => {
  const clock = new ManualClock();
  const ended = new AbortController();
  const started: RunOrder[] = [];
  const lost: string[] = [];
  const batcher = new OrderBatcher(clock);
  const { description } = makeSilentAgent(clock);
  const agent = new WorkerAgent({
    description: { ...description, capacity: capacityOf(4_000) },
    connect: () => ({
      start: async (order) => {
        started.push(order);
        return Ok({ outcome: 'done', clockMs: clock.monotonicMs() });
      },
      stop: async () => Ok({ outcome: 'done' }),
      pace: async () => Ok({ outcome: 'done' }),
      hold: async ({ waitMs }, call) => {
        await clock.sleep(waitMs, call.signal);
        const running = started.map((order) => ({ ...order, percent: 0, gauge: 0 }));
        const clockMs = clock.monotonicMs();
        return Ok({
          kind: 'held',
          holding: { clockMs, bornMs: 1, running, ends: [], hasMoreEnds: false },
        });
      },
      close: () => undefined,
    }),
    clock,
    fencingToken: 1,
    maxLeaseMs: 6_000,
    listener: {
      ...NOOP_LISTENER,
      onRunLost: ({ task }) => lost.push(task.id),
      whenStored: async () => true,
    },
    signal: ended.signal,
    batcher,
    isSoleOwner: () => true,
    wasSoleOwnerAt: () => true,
    mayExtendLease: () => true,
    leaseLimitMs: () => Infinity,
    extensionLimitMs: () => Infinity,
  });
  const running = agent.run();
  await clock.advance(200);
  return { clock, agent, batcher, started, lost, ended, running };
};

// Guards against a start that was decided on an older capacity and brings its worker over the one
// that it has when the order is sent.
test('should not send a start that its worker has no capacity for any more', async (t) => {
  const { clock, agent, batcher, started, lost, ended, running } = await makeAgent();
  const { tasks } = makeOwnedStep(makeStep({ count: 3 }));
  for (let at = 0; at < FULL_TURN; at += 1) batcher.enqueue(() => undefined);
  tasks.forEach((task) => agent.start(task, 1, SIZE, undefined));
  agent.updateDescription({ ...agent.description, capacity: capacityOf(1_000) });
  await clock.advance(100);
  t.is(started.length, 1);
  t.is(lost.length, 2);
  t.is(agent.free().milliCores, 0);
  ended.abort();
  await running;
});

// Guards against a start that was decided for a worker of one kind and is sent to the machine of another
// kind that the worker has become meanwhile.
test('should not send a start that was decided before its worker started again', async (t) => {
  const { clock, agent, batcher, started, lost, ended, running } = await makeAgent();
  const { tasks } = makeOwnedStep(makeStep({ count: 3 }));
  for (let at = 0; at < FULL_TURN; at += 1) batcher.enqueue(() => undefined);
  tasks.forEach((task) => agent.start(task, 1, SIZE, undefined));
  agent.updateDescription({ ...agent.description, labels: ['b'], bornMs: 2 });
  await clock.advance(100);
  t.is(started.length, 0);
  t.is(lost.length, 3);
  ended.abort();
  await running;
});

// Guards against tasks that are placed on a worker whose runs exceed its capacity, and against one
// that stays unused after it has grown again.
test('should use a worker that has shrunk only within its capacity until it grows', async (t) => {
  const { site, owner } = await makeOwnedSite({
    workers: 1,
    behave: () => ({ size: SIZE, durationMs: 2_000 }),
  });
  await site.submit(owner, '00000000000000a1', makeJob(makeStep({ count: 3 })));
  await site.run(500);
  site.registerWorker('w0', { capacity: capacityOf(2_000) });
  await site.run(500);
  await site.submit(owner, '00000000000000a2', makeJob(makeStep({ count: 4 })));
  await site.run(800);
  t.is(site.record.runs.length, 3);
  await site.run(1_400);
  t.is(site.workers.get('w0')?.activeRuns().length, 2);
  site.registerWorker('w0', { capacity: capacityOf(4_000) });
  await site.run(700);
  t.is(site.workers.get('w0')?.activeRuns().length, 4);
  await site.run(3_000);
  t.is(await site.state(owner, '00000000000000a2'), 'completed');
});
