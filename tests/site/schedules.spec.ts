/**
 * The real programs as separate processes under two or three faults at once, chosen by seeds.
 * `SEEDS=7,8,9 npx ava .build/tests/site/schedules.spec.js` runs others.
 */
import test from 'ava';
import { holds, seededFaults, tryFaults } from '../fixtures/siteTrials.js';

const SEEDS = (process.env['SEEDS'] ?? '1,2,3').split(',').map(Number);

for (const seed of SEEDS) {
  const faults = seededFaults(seed);
  test.serial(`should keep every promise with seed ${seed}: ${faults.join(', ')}`, async (t) => {
    t.timeout(170_000);
    holds(t, await tryFaults(faults, seed));
  });
}
