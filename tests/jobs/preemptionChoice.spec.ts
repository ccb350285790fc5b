/**
 * Compares the runs that preemption stops with an exhaustive search over all workers.
 */
import test from 'ava';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
import { fitsIn, plusSize } from 'samphirenotch/infrastructure/sizes.js';
import type { Size } from 'samphirenotch/infrastructure/worker.js';
import {
  reservedSizeOf,
  type OwnedRun,
  type OwnedTask,
} from 'samphirenotch/jobs/model/ownedJob.js';
import { Preemption } from 'samphirenotch/jobs/placement/preemption.js';
import type { WorkerAgent } from 'samphirenotch/jobs/workers/workerAgent.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeQueue, makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep, makeSilentAgent, addRunningRun } from '../fixtures/silentFleet.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
const WORKERS = 5;
const RUNS_PER_WORKER = 10;

/** Largest size of runs and of waiting tasks, in units of half a core. */
const LARGEST_RUN = 3;
const LARGEST_TASK = 12;

const PASSES = 12;
const TASKS_PER_PASS = 10;
const PREEMPTIBLE_ESTIMATE_MS = 5_000;

const sizeOf = (milliCores: number): Size => ({ milliCores, memoryMb: 1_000, accelerators: 0 });

const makeTask = (random: SeededRandom, priority: number, largest: number): OwnedTask => {
  const step = makeOwnedStep(
    makeStep({
      size: sizeOf(500 * (1 + random.below(largest))),
      checkpointing: random.fraction() < 0.8,
      estimateMs: random.fraction() < 0.8 ? PREEMPTIBLE_ESTIMATE_MS : 100,
      requiredLabel: random.fraction() < 0.2 ? 'fast' : '',
      // What is concluded from a task with a limit per worker differs; the limit itself is not reached.
      perWorkerLimit: random.fraction() < 0.3 ? RUNS_PER_WORKER : 0,
    }),
    makeQueue({ priority }),
  );
  const [task] = step.tasks;
  if (!task) throw new Error('the step has no task');
  return task;
};

const makeFleet = (random: SeededRandom, clock: ManualClock): readonly WorkerAgent[] =>
  Array.from({ length: WORKERS }, (_each, index) => {
    const agent = makeSilentAgent(clock, {
      id: `w${index}`,
      labels: index % 3 === 0 ? ['fast'] : [],
    });
    for (let count = 0; count < RUNS_PER_WORKER; count += 1) {
      const { step } = makeTask(random, 1 + random.below(4), LARGEST_RUN);
      if (agent.fits(step.spec.size)) addRunningRun(agent, step);
    }
    return agent;
  });

const roomAfterStops = (agent: WorkerAgent): Size =>
  agent
    .activeRuns()
    .filter(({ phase }) => phase === 'stopping')
    .reduce((room, { size }) => plusSize(room, size), agent.free());

const priorityOf = ({ step }: OwnedTask): number => step.occurrence.job.queue.priority;

/**
 * Returns the runs to stop on a worker, the largest first; undefined if they would not free enough.
 */
const victimsOn = (agent: WorkerAgent, task: OwnedTask): readonly OwnedRun[] | undefined => {
  const candidates = agent
    .activeRuns()
    .filter(
      (run) =>
        run.phase === 'running' &&
        run.task.step.spec.checkpointing &&
        run.task.step.spec.estimateMs === PREEMPTIBLE_ESTIMATE_MS &&
        priorityOf(run.task) > priorityOf(task),
    )
    .sort((left, right) => right.size.milliCores - left.size.milliCores);
  const counts = Array.from({ length: candidates.length }, (_each, index) => index + 1);
  const enough = counts.find((count) => {
    const freed = candidates.slice(0, count).map(({ size }) => size);
    return fitsIn(reservedSizeOf(task), freed.reduce(plusSize, roomAfterStops(agent)));
  });
  return enough === undefined ? undefined : candidates.slice(0, enough);
};

const exhaustiveVictims = (
  workers: readonly WorkerAgent[],
  task: OwnedTask,
  permits: (agent: WorkerAgent) => boolean,
): readonly string[] => {
  const permitted = workers.filter(permits);
  if (permitted.some((agent) => fitsIn(reservedSizeOf(task), roomAfterStops(agent)))) return [];
  const found = permitted.flatMap((agent) => {
    const victims = victimsOn(agent, task);
    return victims ? [victims] : [];
  });
  const fewest = Math.min(...found.map(({ length }) => length));
  const stopped = found.find(({ length }) => length === fewest) ?? [];
  return stopped.map(({ agent, task: { step } }) => `${agent.id} ${step.spec.size.milliCores}`);
};

const runsOf = (fleet: readonly WorkerAgent[]): readonly OwnedRun[] =>
  fleet.flatMap((agent) => agent.activeRuns());

/**
 * Returns what each task of some passes stopped and what it should have. Each pass has other runs.
 */
const run = (seed: number) => {
  const random = new SeededRandom(seed);
  const clock = new ManualClock();
  const preemption = new Preemption(clock);
  return Array.from({ length: PASSES }).flatMap(() => {
    preemption.beginPass();
    const fleet = makeFleet(random, clock);
    return Array.from({ length: TASKS_PER_PASS }, () => {
      const task = makeTask(random, random.below(4), LARGEST_TASK);
      const size = reservedSizeOf(task);
      const permits = ({ description }: WorkerAgent): boolean =>
        task.step.spec.requiredLabel === '' || description.labels.includes('fast');
      const place = fleet.find((agent) => permits(agent) && agent.fits(size));
      if (place) {
        place.trackRun(task, 1, size, 'starting');
        return { expected: [], stopped: [] };
      }
      const expected = exhaustiveVictims(fleet, task, permits);
      const before = new Set(runsOf(fleet).filter(({ phase }) => phase === 'stopping'));
      preemption.makeRoom({ task, size, workers: fleet }, permits);
      const stopped = runsOf(fleet)
        .filter((each) => each.phase === 'stopping' && !before.has(each))
        .sort((left, right) => right.size.milliCores - left.size.milliCores)
        .map(({ agent, size: { milliCores } }) => `${agent.id} ${milliCores}`);
      return { expected, stopped };
    });
  });
};

// Guards against results cached for a pass that are wrong later: too few or too many runs would be
// stopped.
test('should stop the same runs as an exhaustive search', (t) => {
  SEEDS.forEach((seed) => {
    const tried = run(seed);
    t.deepEqual(
      tried.map(({ stopped }) => stopped),
      tried.map(({ expected }) => expected),
      `seed ${seed}`,
    );
  });
});

// Guards against a comparison without stops, in which all tasks fit or no run can be stopped.
test('should include tasks for which runs are stopped', (t) => {
  const stops = SEEDS.flatMap(run).filter(({ stopped }) => stopped.length > 0);
  t.true(stops.length > SEEDS.length, `${stops.length}`);
  t.true(stops.some(({ stopped }) => stopped.length > 1));
});

// Guards against an owner whose time goes into looking at all runs of full workers for each waiting task.
test('should look at the runs of a worker once in a pass if no stop can make room there', (t) => {
  const clock = new ManualClock();
  const agent = makeSilentAgent(clock);
  addRunningRun(agent, makeOwnedStep(makeStep({ size: agent.free() })));
  const preemption = new Preemption(clock);
  let looks = 0;
  const listRuns = agent.activeRuns.bind(agent);
  agent.activeRuns = () => {
    looks += 1;
    return listRuns();
  };
  const looksOf = (perWorkerLimit: number): number => {
    const step = makeOwnedStep(makeStep({ perWorkerLimit }), makeQueue({ priority: 0 }));
    const before = looks;
    step.tasks.forEach((task) =>
      preemption.makeRoom({ task, size: step.spec.size, workers: [agent] }, () => true),
    );
    return looks - before;
  };
  preemption.beginPass();
  t.true(looksOf(1) > 0);
  t.is(looksOf(1), 0);
  preemption.beginPass();
  t.true(looksOf(1) > 0);
});
