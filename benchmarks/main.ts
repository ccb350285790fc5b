/**
 * Benchmarks of samphirenotch; `--ci` runs the seeded ones only and checks their bounds.
 *
 * @packageDocumentation
 */

import { compareAdmission } from './decisions/admission.js';
import { compareDataCentreReturn } from './decisions/dataCentreReturn.js';
import { compareFaults } from './decisions/faults.js';
import { compareInterference } from './decisions/interference.js';
import { comparePlacement } from './decisions/placement.js';
import { comparePressure } from './decisions/pressure.js';
import { compareRetries } from './decisions/retries.js';
import { compareWorkerChoice } from './decisions/workerChoice.js';
import type { Comparison } from './support/comparison.js';
import { formatTable } from './support/table.js';

const SUITES: readonly { readonly name: string; readonly run: () => Comparison[] }[] = [
  { name: 'workerChoice', run: compareWorkerChoice },
  { name: 'admission', run: compareAdmission },
  { name: 'retries', run: compareRetries },
  { name: 'placement', run: comparePlacement },
  { name: 'interference', run: compareInterference },
  { name: 'pressure', run: comparePressure },
  { name: 'dataCentreReturn', run: compareDataCentreReturn },
  { name: 'faults', run: compareFaults },
];

const only = process.argv.find((each) => each.startsWith('--only='))?.slice('--only='.length);
const suites = SUITES.filter(({ name }) => only === undefined || name === only);
const comparisons = suites.flatMap(({ run }) => run());
const missed = comparisons.filter(({ isMet }) => !isMet);

console.log(formatTable(comparisons).join('\n'));
console.log(`${comparisons.length} comparisons, ${missed.length} bounds not met`);
process.exitCode = missed.length === 0 ? 0 : 1;
