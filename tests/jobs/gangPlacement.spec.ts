/**
 * Places gangs, and counts what that takes.
 */
import test from 'ava';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
import { FillerHeadroom } from 'samphirenotch/jobs/pacing/fillerHeadroom.js';
import { Interference } from 'samphirenotch/jobs/pacing/interference.js';
import {
  isSuspect,
  reservedSizeOf,
  type OwnedStep,
  type OwnedTask,
} from 'samphirenotch/jobs/model/ownedJob.js';
import { GangPlacement } from 'samphirenotch/jobs/placement/gangPlacement.js';
import { chooseForTrial } from 'samphirenotch/jobs/placement/suspectTrials.js';
import {
  SpreadPlacement,
  type PlacementInput,
} from 'samphirenotch/jobs/placement/taskPlacement.js';
import type { WorkerAgent } from 'samphirenotch/jobs/workers/workerAgent.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeJob, makeOwnedSite, makeStep } from '../fixtures/jobSite.js';
import { addRunningRun, makeOwnedStep, makeSilentAgent } from '../fixtures/silentFleet.js';

const SEEDS = Array.from({ length: 40 }, (_each, index) => index + 1);

const WORKER = { milliCores: 16_000, memoryMb: 64_000, accelerators: 0 };

const makeScenario = () => {
  const clock = new ManualClock();
  const interference = new Interference();
  const room = new FillerHeadroom(interference);
  const placement = new SpreadPlacement(interference, room, clock);
  const chooseForSuspect = (input: PlacementInput): WorkerAgent | undefined =>
    chooseForTrial(input.task, placement.rank(input), input.workers);
  const gangs = new GangPlacement({ placement, chooseForSuspect });
  const makeWorkers = (count: number): readonly WorkerAgent[] =>
    Array.from({ length: count }, (_each, index) =>
      makeSilentAgent(clock, { id: `w${index}`, address: `w${index}:1`, capacity: WORKER }),
    );
  return { gangs, placement, chooseForSuspect, makeWorkers };
};

/** Places the members one by one, each on the best worker that has room beside those placed before. */
const placeOneByOne = (
  { placement, chooseForSuspect }: ReturnType<typeof makeScenario>,
  members: readonly OwnedTask[],
  workers: readonly WorkerAgent[],
): readonly string[] | undefined => {
  const planned = new Map<WorkerAgent, number>();
  const names: string[] = [];
  for (const task of members) {
    const { milliCores, memoryMb, accelerators } = reservedSizeOf(task);
    const { perWorkerLimit } = task.step.spec;
    const fitting = workers.filter((agent) => {
      const count = (planned.get(agent) ?? 0) + 1;
      if (perWorkerLimit > 0 && count > perWorkerLimit) return false;
      return agent.fits({
        milliCores: milliCores * count,
        memoryMb: memoryMb * count,
        accelerators: accelerators * count,
      });
    });
    const input = { task, size: reservedSizeOf(task), workers: fitting };
    const agent = isSuspect(task) ? chooseForSuspect(input) : placement.rank(input)[0];
    if (!agent) return undefined;
    planned.set(agent, (planned.get(agent) ?? 0) + 1);
    names.push(agent.id);
  }
  return names;
};

const makeGang = (random: SeededRandom): OwnedStep => {
  const size = {
    milliCores: 1_000 * (1 + random.below(4)),
    memoryMb: 1_000 * random.below(20),
    accelerators: 0,
  };
  const count = 1 + random.below(30);
  const perWorkerLimit = random.below(3) === 0 ? 1 + random.below(4) : 0;
  return makeOwnedStep(makeStep({ size, count, perWorkerLimit, gang: true }));
};

// Guards against members that share a worker without room, and gangs that wait although there is room.
for (const seed of SEEDS) {
  test(`should place a gang as one member after the other would be, seed ${seed}`, (t) => {
    const scenario = makeScenario();
    const random = new SeededRandom(seed);
    const workers = scenario.makeWorkers(1 + random.below(8));
    workers.forEach((agent) => {
      const size = { milliCores: 1_000 * (1 + random.below(15)), memoryMb: 1_000, accelerators: 0 };
      addRunningRun(agent, makeOwnedStep(makeStep({ size })));
    });
    const { tasks } = makeGang(random);
    // Members with the same history come one after the other, as they are placed.
    const failedFrom = random.below(tasks.length + 1);
    tasks.slice(failedFrom).forEach((each) => {
      const task = each;
      task.failedWorkerIds = new Set(['w0']);
      if (seed % 4 === 0) task.crashedRuns.push(1, 2);
    });
    const expected = placeOneByOne(scenario, tasks, workers);
    const starts = scenario.gangs.place(tasks, workers);
    t.deepEqual(
      starts?.map(({ agent }) => agent.id),
      expected,
    );
    t.deepEqual(starts?.map(({ task }) => task) ?? [], expected ? tasks : []);
  });
}

/** Counts how often the room of the workers is looked at from now on. */
const countLooks = (workers: readonly WorkerAgent[]): (() => number) => {
  let looks = 0;
  workers.forEach((each) => {
    const agent = each;
    const { fits, countFitting } = { fits: agent.fits, countFitting: agent.countFitting };
    agent.fits = (size) => {
      looks += 1;
      return fits.call(agent, size);
    };
    agent.countFitting = (size) => {
      looks += 1;
      return countFitting.call(agent, size);
    };
  });
  return () => looks;
};

const MEMBERS = 20_000;

// Guards against an owner that is busy with one large gang until it loses its lease (review/8).
for (const [title, memoryMb, hasRoom] of [
  ['that finds room', 1, true],
  ['that finds no room', 65, false],
] as const) {
  test(`should look at each worker a few times for a large gang ${title}`, (t) => {
    const { gangs, makeWorkers } = makeScenario();
    const workers = makeWorkers(20);
    const size = { milliCores: 10, memoryMb, accelerators: 0 };
    const { tasks } = makeOwnedStep(makeStep({ count: MEMBERS, size, gang: true }));
    const looks = countLooks(workers);
    t.is(gangs.place(tasks, workers)?.length, hasRoom ? MEMBERS : undefined);
    t.true(looks() <= 4 * workers.length, `${looks()} looks at ${workers.length} workers`);
  });
}

// Guards against jobs that wait behind a gang without room.
test('should run other jobs beside a large gang that finds no room', async (t) => {
  const { site, owner } = await makeOwnedSite();
  const size = { milliCores: 1, memoryMb: 10, accelerators: 0 };
  const gang = makeJob(makeStep({ count: MEMBERS, size, gang: true }));
  t.is(await site.submit(owner, '00000000000000a1', gang), 'done');
  t.is(await site.submit(owner, '00000000000000a2', makeJob(makeStep({ count: 4 }))), 'done');
  await site.run(3_000);
  t.is(await site.state(owner, '00000000000000a1'), 'queued');
  t.is(await site.state(owner, '00000000000000a2'), 'completed');
});
