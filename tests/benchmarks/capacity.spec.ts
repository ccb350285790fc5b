/**
 * Checks that the capacity page says what was measured.
 *
 * @packageDocumentation
 */

import { readFileSync } from 'node:fs';
import path from 'node:path';

import test from 'ava';

import type { MeasuredSlopes } from '../../benchmarks/capacity/figures.js';
import { writePage } from '../../benchmarks/capacity/page.js';
import type { Slope } from '../../benchmarks/costs/slope.js';
import { readResults } from '../../benchmarks/support/results.js';

const page = () => readFileSync(path.join('docs', 'CAPACITY.md'), 'utf8');

const costs = () => readResults('costs') as readonly Slope[];

const measured = () => readResults('slopes') as MeasuredSlopes;

test('should say on the capacity page what was measured', async (t) => {
  t.is(await writePage(measured(), costs()), page());
});

test('should notice a measurement that the capacity page does not have', async (t) => {
  const changed = { ...measured(), processBytes: measured().processBytes * 2 };

  t.not(await writePage(changed, costs()), page());
});

test('should measure each slope at four sizes at least', (t) => {
  t.true(measured().slopes.every(({ points }) => points.length >= 4));
  t.true(costs().every(({ points }) => points.length >= 4));
});
