/**
 * Estimates of the headroom for fillers beside sets of serving images.
 */
import test from 'ava';
import {
  distinctImages,
  fillerDemand,
  FillerHeadroom,
} from 'samphirenotch/jobs/pacing/fillerHeadroom.js';
import { Interference } from 'samphirenotch/jobs/pacing/interference.js';
import { FULL_PERCENT, type OwnedRun } from 'samphirenotch/jobs/model/ownedJob.js';

import type { StepSpec } from 'samphirenotch/jobs/model/jobSpec.js';
import { makeJob, makeStep } from '../fixtures/jobSite.js';
import { makeOwnedJob } from '../fixtures/ownedJobs.js';

const TARGET_MS = 20;

const makeRun = (spec: StepSpec, gauge: number): OwnedRun => {
  const step = makeOwnedJob(makeJob(spec)).occurrences.get(0)?.steps[0];
  const task = step?.tasks[0];
  if (!task) throw new Error('the job has no task');
  const run = { task, gauge, percent: FULL_PERCENT, confirmedMs: 0, phase: 'running', pace: 100 };
  return run as unknown as OwnedRun;
};

/** Feeds readings of a pair: a tail of 8 ms without the filler, and the given tail with it. */
const learnPair = (
  interference: Interference,
  [image, filler]: [string, string],
  tailMs: number,
) => {
  const serving = makeRun(makeStep({ longRunning: true, image, targetMs: TARGET_MS }), 8);
  const beside = makeRun(makeStep({ filler: true, image: filler }), 1_600);
  for (let atMs = 1_000; atMs < 30_000; atMs += 500) {
    const isBeside = atMs % 2_000 >= 1_000;
    serving.gauge = isBeside ? tailMs : 8;
    interference.learn(isBeside ? [serving, beside] : [serving], 16_000, atMs);
  }
};

const servingImages = (...images: readonly string[]) =>
  images.map((image) => ({ image, targetMs: TARGET_MS }));

const makeHeadroom = (): FillerHeadroom => {
  const interference = new Interference();
  learnPair(interference, ['touchy', 'loud'], 30);
  learnPair(interference, ['touchy', 'quiet'], 8);
  learnPair(interference, ['calm', 'loud'], 8);
  learnPair(interference, ['calm', 'quiet'], 8);
  const headroom = new FillerHeadroom(interference);
  headroom.setDemand(
    new Map([
      ['loud', 0.5],
      ['quiet', 0.5],
    ]),
  );
  return headroom;
};

test('should find less headroom beside an image that a filler slows down', (t) => {
  const headroom = makeHeadroom();
  t.true(
    headroom.usableFraction(servingImages('touchy')) <
      0.75 * headroom.usableFraction(servingImages('calm')),
  );
});

test('should limit the headroom by the most sensitive image of a worker', (t) => {
  const headroom = makeHeadroom();
  t.is(
    headroom.usableFraction(servingImages('calm', 'touchy')),
    headroom.usableFraction(servingImages('touchy')),
  );
  t.is(
    headroom.usableFraction(servingImages('touchy', 'touchy')),
    headroom.usableFraction(servingImages('touchy')),
  );
});

test('should weight the headroom by the fillers in demand', (t) => {
  const headroom = makeHeadroom();
  headroom.setDemand(new Map([['quiet', 1]]));
  t.is(
    headroom.usableFraction(servingImages('touchy')),
    headroom.usableFraction(servingImages('calm')),
  );
});

test('should find no headroom without demand for fillers', (t) => {
  const headroom = makeHeadroom();
  headroom.setDemand(new Map());
  t.is(headroom.usableFraction(servingImages('calm')), 0);
});

test('should weight fillers by their remaining work', (t) => {
  const job = makeOwnedJob(
    makeJob(
      makeStep({ filler: true, image: 'a', count: 3, estimateMs: 1_000 }),
      makeStep({ filler: true, image: 'b', count: 1, estimateMs: 3_000 }),
      makeStep({ image: 'c', count: 9 }),
    ),
  );
  t.deepEqual(
    [...fillerDemand([job])],
    [
      ['a', 0.5],
      ['b', 0.5],
    ],
  );
  t.deepEqual([...fillerDemand([])], []);
});

// Guards against counting a task twice: a share that has delegated part of a step to another share
// must leave the delegated tasks out.
test('should not count tasks of a step that are delegated to other shares', (t) => {
  const filler = { filler: true, estimateMs: 1_000 };
  const job = makeOwnedJob(
    makeJob(
      makeStep({ ...filler, image: 'a', count: 8 }),
      makeStep({ ...filler, image: 'b', count: 2 }),
    ),
  );
  const tasks = job.occurrences.get(0)?.steps[0]?.tasks ?? [];
  tasks.slice(2).forEach((task) => {
    const handed = task;
    handed.isElsewhere = true;
  });
  t.deepEqual(
    [...fillerDemand([job])],
    [
      ['a', 0.5],
      ['b', 0.5],
    ],
  );
});

test('should keep the strictest target of an image', (t) => {
  t.deepEqual(
    distinctImages([
      { image: 'a', targetMs: 20 },
      { image: 'b', targetMs: 10 },
      { image: 'a', targetMs: 15 },
    ]),
    [
      { image: 'a', targetMs: 15 },
      { image: 'b', targetMs: 10 },
    ],
  );
});
