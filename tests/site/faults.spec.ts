/**
 * The real programs as separate processes under one fault at a time.
 */
import test from 'ava';
import { FAULTS, type FaultName } from 'samphirenotch-stand-ins/site/siteFault.js';
import { holds, tryFaults } from '../fixtures/siteTrials.js';

const SEED = 1;

for (const name of Object.keys(FAULTS) as FaultName[]) {
  test.serial(`should keep every promise with ${FAULTS[name].name}`, async (t) => {
    t.timeout(170_000);
    holds(t, await tryFaults([name], SEED));
  });
}

test.serial('should cut off no request in progress in a planned stop', async (t) => {
  t.timeout(170_000);
  const { records } = await tryFaults(['entryStopped'], SEED);
  t.deepEqual(
    // A copy of a key that runs or has run is answered with a conflict, whatever stops.
    records.filter(({ outcome, problem }) => outcome === 'unknown' && problem !== 'conflict'),
    [],
  );
});
