/**
 * Seeded simulations of a divided site with takeovers, delegations and faults in random order.
 *
 * `SEEDS=100,300` runs the seeds from 100 to 300.
 */
import test from 'ava';

import { simulateShares } from '../fixtures/sharesModel.js';

const [FIRST = 1, LAST = 16] = (process.env['SEEDS'] ?? '').split(',').filter(Boolean).map(Number);

/** Seeds that once showed a fault. */
const REGRESSION_SEEDS = [160, 337];

const seeds = Array.from({ length: LAST - FIRST + 1 }, (_, at) => FIRST + at);

for (const seed of new Set([...seeds, ...REGRESSION_SEEDS])) {
  test(`should violate no invariant under the faults of seed ${seed}`, async (t) => {
    t.deepEqual(await simulateShares(seed), []);
  });
}
