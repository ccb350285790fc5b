/**
 * Seeded simulations of sites whose owners change many times, half of them of one share.
 *
 * `SEEDS=100,300` runs the seeds from 100 to 300.
 */
import test from 'ava';

import { simulateOwnerSeries } from '../fixtures/ownerSeriesModel.js';

const [FIRST = 1, LAST = 6] = (process.env['SEEDS'] ?? '').split(',').filter(Boolean).map(Number);

const seeds = Array.from({ length: LAST - FIRST + 1 }, (_, at) => FIRST + at);

// Guards against tasks that run twice, or again after they are done, while owners follow one another.
for (const seed of seeds) {
  test.serial(`should run each task once under the faults of seed ${seed}`, async (t) => {
    const options = { seed, isDivided: seed % 2 === 1, endsLeasesEarly: false };
    const { violations } = await simulateOwnerSeries(options);
    t.deepEqual(violations, []);
  });
}

// Guards against tasks that last and run twice, or not at all, while their places change with their owners.
for (const seed of seeds) {
  test.serial(
    `should run each task that lasts once under the faults of seed ${seed}`,
    async (t) => {
      const { violations } = await simulateOwnerSeries({
        seed,
        isDivided: seed % 3 === 1,
        endsLeasesEarly: false,
        hasLastingTasks: true,
      });
      t.deepEqual(violations, []);
    },
  );
}

// Guards against members of a gang, or occurrences of a schedule, that a successor takes for waiting.
for (const seed of seeds) {
  test.serial(
    `should run gangs and occurrences once under the faults of seed ${seed}`,
    async (t) => {
      const { violations } = await simulateOwnerSeries({
        seed,
        isDivided: seed % 3 === 2,
        endsLeasesEarly: false,
        hasGangsAndSchedules: true,
      });
      t.deepEqual(violations, []);
    },
  );
}

// Guards against tasks that run twice while workers come, leave and replace each other with the owners.
for (const seed of seeds) {
  test.serial(
    `should run each task once on workers that come and go with seed ${seed}`,
    async (t) => {
      const { violations } = await simulateOwnerSeries({
        seed,
        isDivided: seed % 3 === 2,
        endsLeasesEarly: false,
        hasGangsAndSchedules: seed % 2 === 0,
        changesWorkers: true,
      });
      t.deepEqual(violations, []);
    },
  );
}

// Guards against the same by what an owner decides before its process stands still and does afterwards.
for (const seed of seeds) {
  test.serial(
    `should run each task once in starved entries under the faults of seed ${seed}`,
    async (t) => {
      const { violations } = await simulateOwnerSeries({
        seed,
        isDivided: seed % 3 === 1,
        endsLeasesEarly: false,
        hasLastingTasks: seed % 2 === 0,
        isStarved: true,
        holdLimitMs: seed % 2 === 0 ? 10_000 : 6_000,
      });
      t.deepEqual(violations, []);
    },
  );
}
