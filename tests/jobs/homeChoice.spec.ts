/**
 * Tests the choice of a home share for a job.
 */
import test from 'ava';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';
import { NO_CAPACITY, type ShareCapacity } from 'samphirenotch/jobs/model/shareCapacity.js';
import {
  peakDemand,
  PowerOfTwoChoices,
  type HomeCandidate,
  type HomeChoice,
} from 'samphirenotch/jobs/placement/homeChoice.js';
import { LocalHome } from 'samphirenotch/jobs/placement/localHome.js';

import { makeJob, makeStep } from '../fixtures/jobSite.js';

const CAPACITY = 100_000;

const makeRoom = (changes: Partial<ShareCapacity> = {}): ShareCapacity => ({
  ...NO_CAPACITY,
  capacity: CAPACITY,
  free: CAPACITY,
  unused: CAPACITY,
  ...changes,
});

const makeCandidate = (share: string, changes: Partial<HomeCandidate> = {}): HomeCandidate => ({
  share,
  isOwned: true,
  isLocal: false,
  isEvacuated: false,
  room: makeRoom(),
  load: 0,
  ...changes,
});

const makeChoice = (): PowerOfTwoChoices => new PowerOfTwoChoices(new SeededRandom(7));

const job = makeJob(makeStep());

const chosen = (candidates: readonly HomeCandidate[], of = job): ReadonlySet<string> => {
  const choice = makeChoice();
  return new Set(Array.from({ length: 60 }, () => choice.choose(of, candidates)));
};

// Guards against jobs in shares where nothing can start them soon.
test('should leave out shares without an owner or workers, and evacuated ones', (t) => {
  const homes = chosen([
    makeCandidate('a', { isOwned: false }),
    makeCandidate('b', { room: makeRoom({ capacity: 0 }) }),
    makeCandidate('c', { isEvacuated: true }),
    makeCandidate('d'),
    makeCandidate('e'),
  ]);
  t.deepEqual([...homes].sort(), ['d', 'e']);
});

// Guards against jobs in shares that lack a required label, or far from their data.
test('should choose a share that can run every step, near the data if possible', (t) => {
  const labelled = makeJob(makeStep({ requiredLabel: 'fast', dataRack: 'r2' }));
  const fast = makeCandidate('a', { room: makeRoom({ labels: new Set(['fast', 'r1']) }) });
  const near = makeCandidate('b', { room: makeRoom({ labels: new Set(['fast', 'r2']) }) });
  const slow = makeCandidate('c', { room: makeRoom({ labels: new Set(['r2']) }) });
  t.deepEqual([...chosen([fast, near, slow], labelled)], ['b']);
  t.deepEqual([...chosen([fast, slow], labelled)], ['a']);
  t.is(chosen([slow, makeCandidate('d')], labelled).size > 0, true);
});

// Guards against random homes in other data centres while the room of all shares is still unknown.
test('should choose the local share while no share has reported room', (t) => {
  const unknown = { room: NO_CAPACITY };
  const homes = chosen([
    makeCandidate('a', unknown),
    makeCandidate('b', { ...unknown, isLocal: true }),
  ]);
  t.deepEqual([...homes], ['b']);
});

// Guards against overestimated demand, which would make shares look fuller than they are.
test('should estimate demand from the widest step and count serving tasks by half', (t) => {
  const size = { milliCores: 2_000, memoryMb: 1, accelerators: 0 };
  t.is(
    peakDemand(makeJob(makeStep({ count: 3, size }), makeStep({ count: 5, size, after: [0] }))),
    10_000,
  );
  t.is(peakDemand(makeJob(makeStep({ count: 4, size, longRunning: true, targetMs: 10 }))), 4_000);
});

/**
 * Chooses homes where several entries see the same loads; returns the highest load over the mean
 * load.
 */
const imbalance = (choose: (entry: number) => HomeChoice, jobs: number): number => {
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];
  const knownLoads = new Map(names.map((name) => [name, 0]));
  const loads = new Map(names.map((name) => [name, 0]));
  const ENTRIES_AT_ONCE = 6;
  for (let at = 0; at < jobs; at += 1) {
    if (at % ENTRIES_AT_ONCE === 0) loads.forEach((load, name) => knownLoads.set(name, load));
    const candidates = names.map((name, index) =>
      makeCandidate(name, { load: knownLoads.get(name) ?? 0, isLocal: index === at % 2 }),
    );
    const home = choose(at).choose(job, candidates);
    loads.set(home, (loads.get(home) ?? 0) + peakDemand(job));
  }
  const all = [...loads.values()];
  return (Math.max(...all) * names.length) / all.reduce((sum, load) => sum + load, 0);
};

// Guards against overloaded shares: entries that see the same loads would all choose the same
// share.
test('should spread jobs of many entries that see the same loads better than local homes', (t) => {
  const choices = Array.from(
    { length: 16 },
    (_, seed) => new PowerOfTwoChoices(new SeededRandom(seed + 50)),
  );
  const spread = imbalance((entry) => choices[entry % choices.length] ?? makeChoice(), 240);
  const local = imbalance(() => new LocalHome(), 240);
  t.true(spread < 1.25, `${spread} of the mean`);
  t.true(local > 2, `${local} of the mean`);
});
