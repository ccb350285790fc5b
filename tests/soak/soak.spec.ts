/**
 * A short soak: real entries as processes under faults, and the report of it.
 */
import { execFile } from 'node:child_process';
import path from 'node:path';
import { promisify } from 'node:util';

import test from 'ava';

import { REGRESSION_SEEDS } from './regressionSeeds.js';
import { drawFaults, drawOwnerFaults, drawScenes, SCENE_KINDS } from './soakFaults.js';
import { reportPage } from './soakReport.js';
import { makeRandom, runSoak } from './soakRun.js';

const SECONDS = 8;

/** Time in which owners of several shares are killed in series. */
const DIVIDED_SECONDS = 20;

/** Inside the repository, so that the program finds its packages. */
const folder = path.join('.build', 'soak-test');

test('should draw the same faults from the same seed', (t) => {
  t.deepEqual(drawFaults(makeRandom(5), 30_000, 1_000), drawFaults(makeRandom(5), 30_000, 1_000));
  t.notDeepEqual(
    drawFaults(makeRandom(5), 30_000, 1_000),
    drawFaults(makeRandom(6), 30_000, 1_000),
  );
});

// Guards against a divided soak that cannot be repeated from its seed.
test('should draw the same faults of owners from the same seed', (t) => {
  const draw = (seed: number) => drawOwnerFaults(makeRandom(seed), 60_000, 1_000);
  t.deepEqual(draw(5), draw(5));
  t.notDeepEqual(draw(5), draw(6));
  const kinds = new Set(draw(5).map(({ kind }) => kind));
  t.true(kinds.has('owner-series'));
  t.is(draw(5).at(-1)?.kind, 'all-entries-kill');
});

// Guards against scenes that end the state that another one needs.
test('should draw scenes that do not overlap, and all kinds of them', (t) => {
  const draw = (seed: number) => drawScenes(makeRandom(seed), 1_800_000);
  t.deepEqual(draw(5), draw(5));
  t.notDeepEqual(draw(5), draw(6));
  const scenes = draw(5);
  SCENE_KINDS.forEach((kind) => t.true(scenes.some((scene) => scene.kind === kind)));
  scenes.slice(1).forEach(({ atMs }, at) => {
    const before = scenes[at];
    t.true(before !== undefined && atMs > before.atMs + before.forMs);
  });
});

const bundleEntry = async (): Promise<string> => {
  const program = path.join(folder, 'entry.cjs');
  await promisify(execFile)(process.execPath, [
    'node_modules/.bin/tsx',
    'utils/bundle.ts',
    program,
  ]);
  return program;
};

test.serial('should keep every promise under faults', async (t) => {
  const program = await bundleEntry();
  const seeds = [1, ...REGRESSION_SEEDS.map(({ seed }) => seed)];
  for (const seed of seeds) {
    const result = await runSoak({
      seed,
      seconds: SECONDS,
      entries: 2,
      workers: 4,
      workerCpu: 8_000,
      jobGapMs: 200,
      faultGapMs: 800,
      program,
      folder: path.join(folder, String(seed)),
      judgesTime: false,
      tell: (line) => t.log(line),
    });
    t.deepEqual(result.violations, []);
    t.is(result.ownEnds, 0);
    t.true(result.accepted > 0);
    t.true(reportPage([result]).includes(`Seed ${seed}`));
  }
});

// Guards against a task that two shares run, or that runs again once its end was taken note of, when
// owners of a divided site are killed one after the other.
test.serial('should run no task twice on a divided site whose owners change', async (t) => {
  const result = await runSoak({
    seed: 1,
    seconds: DIVIDED_SECONDS,
    entries: 6,
    workers: 30,
    workerCpu: 2_000,
    dataCentres: 3,
    processorShares: [0.05, 0.1],
    jobGapMs: 250,
    stepWidth: 3,
    faultGapMs: 2_500,
    strikesOwners: true,
    program: await bundleEntry(),
    folder: path.join(folder, 'divided'),
    judgesTime: false,
    tell: (line) => t.log(line),
  });
  t.deepEqual(result.violations, []);
  t.is(result.ownEnds, 0);
  t.is(result.shares, 3);
  t.true(result.delegations > 0);
});
