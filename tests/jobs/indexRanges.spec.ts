/**
 * Sets of indexes that are kept as ranges.
 */
import test from 'ava';
import fc from 'fast-check';
import { IndexRanges } from 'samphirenotch/jobs/model/indexRanges.js';

const SEED = 74;

const sorted = (indexes: Iterable<number>): readonly number[] =>
  [...new Set(indexes)].sort((one, other) => one - other);

// Guards against done tasks that are forgotten or made up when ranges are merged.
test('should hold the same indexes as a set, whatever the order', (t) => {
  fc.assert(
    fc.property(fc.array(fc.nat(40), { maxLength: 60 }), (indexes) => {
      const ranges = IndexRanges.of(indexes);
      const expected = sorted(indexes);
      t.deepEqual([...ranges], expected);
      t.is(ranges.size, expected.length);
      t.deepEqual([...IndexRanges.fromPairs(ranges.toPairs())], expected);
      for (let index = 0; index <= 41; index += 1) {
        t.is(ranges.has(index), expected.includes(index));
      }
    }),
    { seed: SEED },
  );
});

// Guards against ranges of a former version that overlap, touch or are empty.
test('should read any ranges', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.nat(30), fc.nat(6)), { maxLength: 20 }).map((pairs) => pairs.flat()),
      (pairs) => {
        const expected: number[] = [];
        for (let at = 0; at < pairs.length; at += 2) {
          const [start = 0, length = 0] = pairs.slice(at, at + 2);
          expected.push(...Array.from({ length }, (_each, index) => start + index));
        }
        t.deepEqual([...IndexRanges.fromPairs(pairs)], sorted(expected));
      },
    ),
    { seed: SEED },
  );
});

// Guards against a schedule that needs memory for each occurrence that is done.
test('should keep indexes that were added in order as one range', (t) => {
  const ranges = IndexRanges.of(Array.from({ length: 8_640 }, (_each, index) => index));
  t.deepEqual(ranges.toPairs(), [0, 8_640]);
});
