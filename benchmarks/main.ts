/**
 * Benchmarks of samphirenotch: prints tables, writes `benchmarks/results/` and the capacity page.
 * `--ci` runs the seeded ones only, checks their bounds and writes nothing; `--only=NAME` runs one.
 *
 * @packageDocumentation
 */

import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';

import { writePage } from './capacity/page.js';
import type { Slope as SiteSlope } from './costs/slope.js';
import { compareAdmission } from './decisions/admission.js';
import { compareDataCentreReturn } from './decisions/dataCentreReturn.js';
import { compareFaults } from './decisions/faults.js';
import { compareInterference } from './decisions/interference.js';
import { comparePlacement } from './decisions/placement.js';
import { comparePressure } from './decisions/pressure.js';
import { compareRetries } from './decisions/retries.js';
import { compareStepOrder } from './decisions/stepOrder.js';
import { compareWorkerChoice } from './decisions/workerChoice.js';
import { measureCalls, measureFloor } from './slopes/callSlopes.js';
import { measureDecisions } from './slopes/decisionSlopes.js';
import type { Slope } from './slopes/measure.js';
import { measureState } from './slopes/stateSlopes.js';
import type { Comparison } from './support/comparison.js';
import { boundTitle, summarizeBounds } from './support/knownRedBounds.js';
import { readResults, writeResults } from './support/results.js';
import { formatSlopes, formatTable } from './support/table.js';

interface Suite {
  readonly name: string;
  readonly run: () => Comparison[];
}

const SUITES: readonly Suite[] = [
  { name: 'workerChoice', run: compareWorkerChoice },
  { name: 'admission', run: compareAdmission },
  { name: 'retries', run: compareRetries },
  { name: 'placement', run: comparePlacement },
  { name: 'interference', run: compareInterference },
  { name: 'pressure', run: comparePressure },
  { name: 'dataCentreReturn', run: compareDataCentreReturn },
  { name: 'faults', run: compareFaults },
  { name: 'stepOrder', run: compareStepOrder },
];

const KNOWN_RED = 'KNOWN-RED.txt';
const CAPACITY_PAGE = path.join('docs', 'CAPACITY.md');

const isCi = process.argv.includes('--ci');
const only = process.argv.find((each) => each.startsWith('--only='))?.slice('--only='.length);

const runSuites = async (): Promise<Comparison[]> => {
  const all: Comparison[] = [];

  for (const { name, run } of SUITES.filter((suite) => only === undefined || suite.name === only)) {
    const comparisons = run();
    all.push(...comparisons);
    if (!isCi) await writeResults(name, comparisons);
  }

  return all;
};

const runSlopes = async (): Promise<void> => {
  const slopes: Slope[] = [...measureDecisions(), ...measureState(), ...(await measureCalls())];
  const processBytes = await measureFloor();
  console.log(formatSlopes(slopes).join('\n'));
  const measured = { node: process.version, processBytes, slopes };
  await writeResults('slopes', measured);
  writeFileSync(
    CAPACITY_PAGE,
    await writePage(measured, readResults('costs') as readonly SiteSlope[]),
  );
};

const comparisons = await runSuites();
console.log(formatTable(comparisons).join('\n'));
if (!isCi && (only === undefined || only === 'slopes')) await runSlopes();
const list = existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, 'utf8') : '';
const { missed, passedOver, listFaults } = summarizeBounds(comparisons, list);
const faults = only === undefined ? listFaults : [];
comparisons
  .filter(({ isMet }) => !isMet)
  .forEach((each) => console.log(`not met: ${boundTitle(each)}, ratio ${each.ratio?.toFixed(3)}`));
passedOver.forEach((line) => console.log(`known red: ${line}`));
faults.forEach((fault) => console.log(`${KNOWN_RED}: ${fault}`));
console.log(`${comparisons.length} comparisons, ${missed.length} bounds not met and not listed`);
process.exitCode = missed.length + faults.length === 0 ? 0 : 1;
