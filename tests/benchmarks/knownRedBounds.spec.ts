import test from 'ava';

import type { Comparison } from '../../benchmarks/support/comparison.js';
import { boundTitle, summarizeBounds } from '../../benchmarks/support/knownRedBounds.js';

const comparison = (isMet: boolean): Comparison => ({
  decision: 'placement',
  firm: 'council',
  scenario: 'load 1.1',
  metric: 'heavy done',
  unit: 'tasks',
  better: 'higher',
  baselineName: 'first fit',
  baseline: 2,
  policy: 1,
  ratio: 0.5,
  seeds: 5,
  ratioRange: [0.4, 0.6],
  bounds: [],
  isMet,
});

const LINE = `${boundTitle(comparison(false))} | npm run bench | 0.5 | issue 5`;

test('should name a bound that is not met, and pass over it once it is listed', (t) => {
  t.deepEqual(summarizeBounds([comparison(false)], '').missed, [boundTitle(comparison(false))]);
  const listed = summarizeBounds([comparison(false)], LINE);
  t.deepEqual(listed, { missed: [], passedOver: [LINE], listFaults: [] });
});

test('should fault an entry whose bound is met, that names no bound, or that is cut short', (t) => {
  t.is(summarizeBounds([comparison(true)], LINE).listFaults.length, 1);
  t.is(summarizeBounds([], LINE).listFaults.length, 1);
  t.is(summarizeBounds([comparison(false)], 'bound: x | y').listFaults.length, 1);
});
