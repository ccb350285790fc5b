/**
 * Owners that are cut off with their data centre, of 3 to 12 workers, beside series of successors: workers
 * drain, are listed late, come back at another address or start again in between. All is drawn by a seed; the
 * entries of even seeds are starved.
 *
 * `SEEDS=100,300` runs the seeds from 100 to 300.
 */
import test from 'ava';
import { SeededRandom } from 'samphirenotch/decisions/seededRandom.js';

import { JobSite, makeJob, makeStep, runUntil, type SiteEntry } from '../fixtures/jobSite.js';
import { isOwner } from '../fixtures/ownerIsland.js';
import { StarvedClock } from '../fixtures/starvedClock.js';

const ID = '00000000000000a1';
const SIZE = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 };

/** Numbers of workers of a data centre: those from which on an owner does without more, and beside them. */
const SIZES = [2, 3, 5, 6, 12];

/** Number of draws to skip: the first draws of small seeds are alike. */
const SKIPPED_DRAWS = 32;

const [FIRST = 1, LAST = 12] = (process.env['SEEDS'] ?? '').split(',').filter(Boolean).map(Number);

const seeds = Array.from({ length: LAST - FIRST + 1 }, (_, at) => FIRST + at);

/** Runs one series of owners; returns what went wrong. */
const simulate = async (seed: number): Promise<readonly string[]> => {
  const random = new SeededRandom(seed);
  for (let draw = 0; draw < SKIPPED_DRAWS; draw += 1) random.fraction();
  const count = SIZES[random.below(SIZES.length)] ?? 3;
  const longRunning = random.below(2) === 0;
  const site = new JobSite({
    workers: 2 * count,
    milliCores: 8_000,
    holdLimitMs: random.below(2) === 0 ? 6_000 : 10_000,
    behave: () => ({
      size: SIZE,
      durationMs: longRunning ? Number.POSITIVE_INFINITY : 4_000 + random.below(36_000),
    }),
  });
  const workersOf = (dataCentre: number): readonly string[] =>
    [...site.workers.keys()].filter((id) => Number(id.slice(1)) % 2 === dataCentre);
  const draw = (most: number): readonly string[] =>
    workersOf(1)
      .map((id) => ({ id, at: random.fraction() }))
      .sort((first, second) => first.at - second.at)
      .slice(0, random.below(most + 1))
      .map(({ id }) => id);
  const isStarved = seed % 2 === 0;
  const start = (name: string, dataCentre: string): SiteEntry => {
    const clock = isStarved ? new StarvedClock(site.clock, random.below(1_000_000)) : undefined;
    const entry = site.start(name, false, 1, dataCentre, clock);
    entry.store.latencyMs = () => 1 + (clock?.stopLeftMs() ?? 0);
    return entry;
  };
  const former = start('a', 'dc1');
  await site.run(1_300);
  draw(1).forEach((id) => site.registerWorker(id, { phase: 'draining' }));
  site.putJobs([ID], makeJob(makeStep({ count: 3 * count, longRunning })));
  await site.run(1_000 + random.below(13_000));
  let last = start('b', 'dc0');
  await site.run(500);
  let next = 2 * count + 1;
  const changes: readonly (() => void)[] = [
    () => {
      site.addWorker(`w${next}`);
      next += 2;
    },
    () => draw(2).forEach((id) => site.registerWorker(id, { phase: 'draining' })),
    () => draw(2).forEach((id) => site.registerWorker(id)),
    () => draw(1).forEach((id) => site.registerWorker(id, { address: 'elsewhere:1' })),
    () => draw(1).forEach((id) => site.workers.get(id)?.restart()),
    () => draw(1).forEach((id) => site.data.remove(`workers/${id}`)),
    () => site.cutFromWorkers(former.client, draw(2)),
    () => draw(2).forEach((id) => site.workers.get(id)?.unreachableFrom.delete(last.client)),
    () =>
      site.putJobs([`00000000000000b${next % 10}`], makeJob(makeStep({ count: 4, longRunning }))),
  ];
  const change = (): void => changes[random.below(changes.length)]?.();
  change();
  await site.run(random.below(700));
  const silent = draw(2);
  site.cutFromWorkers(former.client, [...silent, ...workersOf(0)]);
  // A worker that both reach tells the former owner of its successor at once.
  const isolate = (entry: SiteEntry): void => {
    const reached = random.below(4) === 0 ? draw(4) : silent;
    site.cutFromWorkers(
      entry.client,
      workersOf(1).filter((id) => !reached.includes(id)),
    );
  };
  isolate(last);
  former.store.isCutOff = true;
  await runUntil(site, () => isOwner(site, last));
  const steps = random.below(8);
  for (let step = 0; step < steps; step += 1) {
    await site.run(50 + random.below(1_500));
    change();
    if (random.below(6) === 0) {
      const successor = start(`c${step}`, 'dc0');
      await site.run(600);
      isolate(successor);
      last.kill();
      last = successor;
    }
  }
  await site.run(22_000);
  return site.record.violations;
};

// Guards against a task that runs twice: a successor counts other contacts than the former owner does
// without.
for (const seed of seeds) {
  test.serial(`should wait for the leases of an island by seed ${seed}`, async (t) => {
    t.deepEqual(await simulate(seed), []);
  });
}
