/**
 * Finds what an operator may have meant by a misspelt name.
 */

const MOST_EDITS = 3;

const nextRow = (row: readonly number[], character: string, other: string): number[] => {
  const next = [(row[0] ?? 0) + 1];
  for (let column = 1; column < row.length; column += 1) {
    const change = other[column - 1] === character ? 0 : 1;
    const replaced = (row[column - 1] ?? 0) + change;
    const inserted = (next[column - 1] ?? 0) + 1;
    const deleted = (row[column] ?? 0) + 1;
    next.push(Math.min(replaced, inserted, deleted));
  }
  return next;
};

const editsBetween = (left: string, right: string): number => {
  let row = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (const character of left) row = nextRow(row, character, right);
  return row.at(-1) ?? 0;
};

/**
 * Finds the known name that is nearest to a written one.
 *
 * @param written - the name as written
 * @param known - the names there are
 * @returns the nearest one, or nothing if none is near
 */
export const nearestName = (written: string, known: Iterable<string>): string | undefined => {
  let nearest: string | undefined;
  let fewest = Math.min(MOST_EDITS, Math.ceil(written.length / 2)) + 1;
  for (const name of known) {
    const edits = editsBetween(written.toLowerCase(), name.toLowerCase());
    if (edits < fewest) {
      fewest = edits;
      nearest = name;
    }
  }
  return nearest;
};
