/**
 * Checks that result values work from outside of the library.
 *
 * @packageDocumentation
 */

import test from 'ava';
import { Err, Ok, type Result } from 'samphirenotch/results.js';

const halve = (value: number): Result<number, string> =>
  value % 2 === 0 ? Ok(value / 2) : Err('odd');

test('should hold a value', (t) => {
  const result = halve(8);

  t.true(result.ok);
  t.is(result.val, 4);
});
