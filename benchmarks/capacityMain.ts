/**
 * Writes docs/CAPACITY.md from what the benchmarks measured.
 *
 * @packageDocumentation
 */

import { writeFileSync } from 'node:fs';
import path from 'node:path';

import type { MeasuredSlopes } from './capacity/figures.js';
import { writePage } from './capacity/page.js';
import type { Slope } from './costs/slope.js';
import { readResults } from './support/results.js';

const text = await writePage(
  readResults('slopes') as MeasuredSlopes,
  readResults('costs') as readonly Slope[],
);

writeFileSync(path.join('docs', 'CAPACITY.md'), text);
console.log('docs/CAPACITY.md is written.');
