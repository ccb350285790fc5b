/**
 * Seeded plays of a divided site: hand-overs, delegations and faults in any order.
 *
 * `SEEDS=100,300` plays the seeds from 100 to 300.
 */
import test from 'ava';

import { playShares } from '../fixtures/sharesModel.js';

const [FIRST = 1, LAST = 16] = (process.env['SEEDS'] ?? '').split(',').filter(Boolean).map(Number);

for (let seed = FIRST; seed <= LAST; seed += 1) {
  test(`should keep every promise under the faults of seed ${seed}`, async (t) => {
    t.deepEqual(await playShares(seed), []);
  });
}
