/**
 * Compares the choice of workers with an exhaustive search over all workers for every task.
 */
import test from 'ava';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
import { FillerHeadroom } from 'samphirenotch/jobs/pacing/fillerHeadroom.js';
import { Interference } from 'samphirenotch/jobs/pacing/interference.js';
import type { StepSpec } from 'samphirenotch/jobs/model/jobSpec.js';
import { FULL_PERCENT, reservedSizeOf, type OwnedStep } from 'samphirenotch/jobs/model/ownedJob.js';
import {
  SpreadPlacement,
  type PlacementInput,
} from 'samphirenotch/jobs/placement/taskPlacement.js';
import type { WorkerAgent } from 'samphirenotch/jobs/workers/workerAgent.js';
import { WorkerCosts } from 'samphirenotch/jobs/placement/workerCosts.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep, makeSilentAgent, addRunningRun } from '../fixtures/silentFleet.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const WORKERS = 24;
const PASSES = 6;
const STEPS_PER_PASS = 14;
const PASS_MS = 250;

const pick = <T>(random: SeededRandom, values: readonly [T, ...T[]]): T =>
  values[random.below(values.length)] ?? values[0];

const makeSize = (random: SeededRandom) => ({
  milliCores: pick(random, [500, 1_000, 1_700]),
  memoryMb: pick(random, [500, 2_000]),
  accelerators: 0,
});

const makeServing = (random: SeededRandom): StepSpec =>
  makeStep({
    size: makeSize(random),
    longRunning: true,
    image: pick(random, ['tolerant', 'sensitive', 'plain']),
    targetMs: pick(random, [10, 20]),
    count: 3,
  });

const makeFiller = (random: SeededRandom): StepSpec =>
  makeStep({
    size: makeSize(random),
    filler: true,
    image: pick(random, ['noisy', 'quiet']),
    count: 4,
  });

const makeAny = (random: SeededRandom): StepSpec => {
  const spec = pick(random, [
    makeServing,
    makeFiller,
    (each) => makeStep({ size: makeSize(each) }),
  ])(random);
  return {
    ...spec,
    count: 1 + random.below(5),
    dataRack: pick(random, ['', '', 'rack0', 'rack1']),
    requiredLabel: pick(random, ['', '', '', 'fast']),
    perWorkerLimit: pick(random, [0, 0, 1, 2]),
  };
};

const makeFleet = (random: SeededRandom, clock: ManualClock): readonly WorkerAgent[] =>
  Array.from({ length: WORKERS }, (_each, index) =>
    makeSilentAgent(clock, {
      id: `w${index}`,
      capacity: { milliCores: pick(random, [4_000, 8_000]), memoryMb: 16_000, accelerators: 0 },
      labels: [...(random.fraction() < 0.5 ? ['fast'] : []), `rack${index % 4}`],
      coldMs: random.fraction() < 0.1 ? 500 : 0,
    }),
  );

/** Lets serving tasks report tail latencies, beside fillers and without them. */
const learn = (
  { random, clock, fleet, interference }: Scenario,
  steps: readonly OwnedStep[],
): void => {
  steps.forEach((step) =>
    step.tasks.forEach(({ runs }) =>
      runs.forEach((run) => {
        const shown = run;
        shown.percent = FULL_PERCENT;
        shown.gauge = step.spec.targetMs > 0 ? 5 + 10 * random.fraction() : 800;
      }),
    ),
  );
  fleet.forEach((agent) =>
    interference.learn(
      agent.activeRuns(),
      agent.description.capacity.milliCores,
      clock.monotonicMs(),
    ),
  );
};

interface Scenario {
  readonly random: SeededRandom;
  readonly clock: ManualClock;
  readonly fleet: readonly WorkerAgent[];
  readonly interference: Interference;
  readonly room: FillerHeadroom;
  readonly placement: SpreadPlacement;
}

const makeScenario = (seed: number): Scenario => {
  const random = new SeededRandom(seed);
  const clock = new ManualClock();
  const interference = new Interference();
  const room = new FillerHeadroom(interference);
  const placement = new SpreadPlacement(interference, room, clock);
  return { random, clock, fleet: makeFleet(random, clock), interference, room, placement };
};

/** Returns the first of the cheapest workers, computed without cached results. */
const chooseExhaustively = ({ interference, room, clock }: Scenario, input: PlacementInput) =>
  new SpreadPlacement(interference, room, clock).rank(input)[0];

/** Places the tasks of a step and returns the choices of both methods. */
const placeStep = (
  scenario: Scenario,
  step: OwnedStep,
  workers: readonly WorkerAgent[],
): readonly (readonly [string, string])[] =>
  step.tasks.map((each) => {
    const task = each;
    if (scenario.random.fraction() < 0.2)
      task.failedWorkerIds = new Set([`w${scenario.random.below(WORKERS)}`]);
    const input = { task, size: reservedSizeOf(task), workers };
    const expected = chooseExhaustively(scenario, input);
    const chosen = scenario.placement.choose(input);
    if (chosen) {
      const run = chosen.trackRun(task, 1, input.size, 'running');
      run.confirmedMs = scenario.clock.monotonicMs();
      scenario.placement.invalidate(chosen);
    }
    return [chosen?.id ?? 'none', expected?.id ?? 'none'];
  });

const changeSomeWorker = ({ random, fleet }: Scenario): void => {
  const agent = fleet[random.below(fleet.length)];
  if (!agent) return;
  agent.updateDescription({
    ...agent.description,
    coldMs: random.below(2),
    labels: ['fast', 'rack0'],
  });
  const spec = makeStep({ size: makeSize(random) });
  if (agent.fits(spec.size)) addRunningRun(agent, makeOwnedStep(spec));
};

const run = (seed: number): readonly (readonly [string, string])[] => {
  const scenario = makeScenario(seed);
  const { random, clock, fleet, placement, room } = scenario;
  const steps: OwnedStep[] = [];
  return Array.from({ length: PASSES }).flatMap((_each, pass) => {
    clock.jump(PASS_MS * 4);
    learn(scenario, steps);
    room.setDemand(
      new Map([
        ['noisy', 0.25 + 0.1 * pass],
        ['quiet', 0.75 - 0.1 * pass],
      ]),
    );
    placement.invalidateAll();
    const half = fleet.filter((_agent, index) => index % 2 === 0);
    const added = Array.from({ length: STEPS_PER_PASS }, () => makeOwnedStep(makeAny(random)));
    steps.push(...added);
    const choices = added.flatMap((step) => placeStep(scenario, step, pick(random, [fleet, half])));
    changeSomeWorker(scenario);
    return choices;
  });
};

// Guards against cached costs that are out of date, which would select the wrong worker.
test('should choose the same workers as an exhaustive search', (t) => {
  SEEDS.forEach((seed) => {
    const choices = run(seed);
    t.deepEqual(
      choices.map(([chosen]) => chosen),
      choices.map(([, plain]) => plain),
      `seed ${seed}`,
    );
  });
});

/** Gives workers more or less room, and starts a task, without telling the placement. */
const changeWorkers = (scenario: Scenario): void => {
  const { random, fleet } = scenario;
  fleet.forEach((agent) => {
    if (random.fraction() >= 0.3) return;
    const { capacity } = agent.description;
    const milliCores = capacity.milliCores + pick(random, [-1_000, 1_000, 2_000]);
    agent.updateDescription({ ...agent.description, capacity: { ...capacity, milliCores } });
  });
  changeSomeWorker(scenario);
};

/** Places tasks in passes that follow each other too soon for tail latencies to change. */
const runQuickPasses = (seed: number): readonly (readonly [string, string])[] => {
  const scenario = makeScenario(seed);
  const { random, fleet, placement, room } = scenario;
  room.setDemand(new Map([['noisy', 1]]));
  const half = fleet.filter((_agent, index) => index % 2 === 0);
  const steps = Array.from({ length: STEPS_PER_PASS }, () => makeAny(random));
  return Array.from({ length: PASSES }).flatMap(() => {
    placement.beginPass();
    const choices = steps
      .map((spec) => makeOwnedStep(spec))
      .flatMap((step) => placeStep(scenario, step, pick(random, [fleet, half])));
    changeWorkers(scenario);
    return choices;
  });
};

// Guards against costs that are kept from pass to pass although a worker has changed: tasks would wait
// beside room that has become free, or be sent to a worker that is full.
test('should choose the same workers as an exhaustive search when workers change between passes', (t) => {
  SEEDS.forEach((seed) => {
    const choices = runQuickPasses(seed);
    t.deepEqual(
      choices.map(([chosen]) => chosen),
      choices.map(([, plain]) => plain),
      `seed ${seed}`,
    );
    t.true(choices.some(([, plain]) => plain === 'none'));
  });
});

// Guards against tail latencies of another time: costs are not kept for longer than their measurements.
test('should compute costs anew once they are old', (t) => {
  const { clock, interference, placement } = makeScenario(1);
  const capacity = { milliCores: 16_000, memoryMb: 32_000, accelerators: 0 };
  const large = makeSilentAgent(clock, { id: 'large', capacity });
  const small = makeSilentAgent(clock, { id: 'small' });
  addRunningRun(small, makeOwnedStep(makeStep()));
  const workers = [large, small];
  const serving = makeStep({ longRunning: true, image: 'sensitive', targetMs: 10 });
  const disturbed = addRunningRun(large, makeOwnedStep(serving));
  const [task] = makeOwnedStep(makeStep({ filler: true, image: 'noisy' })).tasks;
  const choose = (): string | undefined => {
    placement.beginPass();
    return task && placement.choose({ task, size: reservedSizeOf(task), workers })?.id;
  };
  clock.jump(1_000);
  t.is(choose(), 'large');
  disturbed.percent = FULL_PERCENT;
  disturbed.gauge = 40;
  interference.learn(large.activeRuns(), capacity.milliCores, clock.monotonicMs());
  clock.jump(100);
  t.is(choose(), 'small');
});

// Guards against a comparison without value, in which workers are empty or full from the start.
test('should include tasks that fit and tasks that fit on no worker', (t) => {
  SEEDS.forEach((seed) => {
    const placed = run(seed).filter(([, plain]) => plain !== 'none').length;
    const all = run(seed).length;
    t.true(placed > all / 4 && placed < all, `seed ${seed}: ${placed} of ${all}`);
  });
});

// Guards against a cost that is NaN: it made every later worker the cheapest, full ones included.
test('should not choose a full worker after one whose cost is NaN', (t) => {
  const clock = new ManualClock();
  const workers = ['w0', 'w1', 'w2'].map((id) => makeSilentAgent(clock, { id }));
  const find = (...costs: readonly number[]): string | undefined =>
    new WorkerCosts({
      workers,
      changed: [],
      costOf: (agent) => costs[workers.indexOf(agent)] ?? Number.POSITIVE_INFINITY,
    }).cheapest()?.id;
  t.is(find(Number.NaN, Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY), undefined);
  t.is(find(1, Number.NaN, 2), 'w0');
  t.is(find(Number.NaN, 2, 1), 'w2');
});
