/**
 * A short soak: real entries as processes under faults, and the report of it.
 */
import { execFile } from 'node:child_process';
import path from 'node:path';
import { promisify } from 'node:util';

import test from 'ava';

import { REGRESSION_SEEDS } from './regressionSeeds.js';
import { drawFaults } from './soakFaults.js';
import { reportPage } from './soakReport.js';
import { makeRandom, runSoak } from './soakRun.js';

const SECONDS = 8;

/** Inside the repository, so that the program finds its packages. */
const folder = path.join('.build', 'soak-test');

/** Third part of addresses that no other test uses. */
const NETWORK = 77;

test('should draw the same faults from the same seed', (t) => {
  t.deepEqual(drawFaults(makeRandom(5), 30_000, 1_000), drawFaults(makeRandom(5), 30_000, 1_000));
  t.notDeepEqual(
    drawFaults(makeRandom(5), 30_000, 1_000),
    drawFaults(makeRandom(6), 30_000, 1_000),
  );
});

test('should keep every promise under faults', async (t) => {
  const program = path.join(folder, 'entry.cjs');
  await promisify(execFile)(process.execPath, [
    'node_modules/.bin/tsx',
    'utils/bundle.ts',
    program,
  ]);
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
      network: NETWORK,
      judgesTime: false,
      tell: (line) => t.log(line),
    });
    t.deepEqual(result.violations, []);
    t.is(result.ownEnds, 0);
    t.true(result.accepted > 0);
    t.true(reportPage([result]).includes(`Seed ${seed}`));
  }
});
