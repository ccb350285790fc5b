/**
 * Measures how costs grow and writes them to `benchmarks/results/costs.json`; `--only=SUITE` runs
 * one suite and keeps the results of the others.
 *
 * @packageDocumentation
 */

import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';

import { entryFanOut } from './costs/entryFanOut.js';
import { groupCommit } from './costs/groupCommit.js';
import { idleControl } from './costs/idleControl.js';
import { memory } from './costs/memory.js';
import { requestPath } from './costs/requestPath.js';
import type { Slope } from './costs/slope.js';

const SUITES: Readonly<Record<string, () => Promise<readonly Slope[]>>> = {
  idleControl,
  entryFanOut,
  groupCommit,
  requestPath,
  memory,
};

const RESULTS = join(process.cwd(), 'benchmarks/results/costs.json');

const readResults = (): readonly Slope[] =>
  existsSync(RESULTS) ? (JSON.parse(readFileSync(RESULTS, 'utf8')) as Slope[]) : [];

const keep = (measured: readonly Slope[]): void => {
  const names = new Set(measured.map(({ name }) => name));
  const others = readResults().filter(({ name }) => !names.has(name));
  mkdirSync(dirname(RESULTS), { recursive: true });
  writeFileSync(RESULTS, `${JSON.stringify([...others, ...measured], null, 2)}\n`);
};

const show = ({ name, unit, sizeAxis, points, slope, intercept, machine }: Slope): void => {
  const shown = points.map(([size, value]) => `${size}: ${value}`).join(', ');
  console.log(`${name} [${unit}] against ${sizeAxis}: ${shown}`);
  console.log(`  slope ${slope}, intercept ${intercept}; ${machine}`);
};

const only = process.argv.find((each) => each.startsWith('--only='))?.slice('--only='.length);
const chosen = Object.entries(SUITES).filter(([name]) => only === undefined || name === only);
if (chosen.length === 0) throw new Error(`There are only ${Object.keys(SUITES).join(', ')}.`);
for (const [, run] of chosen) {
  const measured = await run();
  measured.forEach(show);
  keep(measured);
}
