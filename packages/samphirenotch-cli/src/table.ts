/**
 * Writes values as plain text for people.
 */

/** One row of a table. */
export type Row = Readonly<Record<string, unknown>>;

const cell = (value: unknown): string => {
  if (value === undefined || value === null) return '-';
  if (Array.isArray(value)) return value.map(cell).join(',') || '-';
  if (typeof value === 'object') return JSON.stringify(value);
  if (typeof value === 'number' && !Number.isInteger(value)) return value.toFixed(1);
  return String(value);
};

/**
 * Writes rows under their column names.
 *
 * @param rows - the rows
 * @param columns - keys to show; those of the first row by default
 * @returns lines of text
 */
export const writeTable = (
  rows: readonly Row[],
  columns: readonly string[] = Object.keys(rows[0] ?? {}),
): readonly string[] => {
  const cells = [columns, ...rows.map((row) => columns.map((column) => cell(row[column])))];
  const widths = columns.map((_, index) =>
    Math.max(...cells.map((row) => (row[index] ?? '').length)),
  );
  return cells.map((row) =>
    row
      .map((text, index) => text.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd(),
  );
};

const isRow = (value: unknown): value is Row =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isTable = (value: unknown): value is readonly Row[] =>
  Array.isArray(value) && value.length > 0 && value.every(isRow);

/**
 * Writes an object: plain values as lines, lists of objects as tables.
 *
 * @param value - the object
 * @returns lines of text
 */
export const writeObject = (value: Row): readonly string[] =>
  Object.entries(value).flatMap(([key, each]) => {
    if (each === undefined) return [];
    if (isTable(each)) return ['', `${key}:`, ...writeTable(each).map((line) => `  ${line}`)];
    if (isRow(each)) return ['', `${key}:`, ...writeObject(each).map((line) => `  ${line}`)];
    return [`${key}: ${cell(each)}`];
  });
