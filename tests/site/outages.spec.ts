/**
 * The real programs while a data centre is taken out and something else fails there as well.
 */
import test from 'ava';
import { FAULTS, type FaultName } from 'samphirenotch-stand-ins/site/siteFault.js';
import { focusedPick, holds, tryFaults } from '../fixtures/siteTrials.js';

const SEED = 1;
const DATA_CENTRE = 'Timaru';

const COMBINATIONS: readonly (readonly FaultName[])[] = [
  ['storeSlow', 'dataCentreOut'],
  ['dataCentreOut', 'storeDown'],
  ['cutFromStore', 'dataCentreOut'],
  ['dataCentreCut', 'dataCentreOut'],
  ['entryFrozen', 'dataCentreOut'],
  ['dataCentreOut', 'entryKilled'],
];

for (const names of COMBINATIONS) {
  const title = names.map((name) => FAULTS[name].name).join(', then ');
  test.serial(`should start nothing where it is out with ${title}`, async (t) => {
    t.timeout(170_000);
    holds(t, await tryFaults(names, SEED, focusedPick(DATA_CENTRE, SEED)));
  });
}
