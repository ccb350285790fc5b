/**
 * Prints comparisons as one table.
 *
 * @packageDocumentation
 */

import type { Slope } from '../slopes/measure.js';
import type { Comparison } from './comparison.js';

const HEADINGS = [
  'decision',
  'firm',
  'scenario',
  'metric',
  'baseline',
  'value',
  'policy',
  'ratio',
  'over seeds',
  'bound',
];

const format = (value: number): string => {
  if (value !== 0 && Math.abs(value) < 0.01) return value.toExponential(1);
  return value >= 1_000 ? value.toFixed(0) : value.toFixed(value >= 10 ? 1 : 3);
};

const formatRange = (range: readonly [number, number] | null): string =>
  range ? `${range[0].toFixed(2)}-${range[1].toFixed(2)}` : '';

const formatBound = (comparison: Comparison): string => {
  if (comparison.bounds.length === 0) return '';
  return `${comparison.isMet ? 'met' : 'NOT MET'}: ${comparison.bounds.join(', ')}`;
};

const toRow = (comparison: Comparison): string[] => [
  comparison.decision,
  comparison.firm,
  comparison.scenario,
  `${comparison.metric} [${comparison.unit}]`,
  comparison.baselineName,
  format(comparison.baseline),
  format(comparison.policy),
  comparison.ratio === null ? '' : comparison.ratio.toFixed(3),
  formatRange(comparison.ratioRange),
  formatBound(comparison),
];

const layOut = (rows: readonly (readonly string[])[]): string[] => {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );

  return rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
};

/**
 * Lays comparisons out in columns.
 *
 * @param comparisons - what was measured
 * @returns the lines of the table
 */
export const formatTable = (comparisons: readonly Comparison[]): string[] =>
  layOut([HEADINGS, ...comparisons.map(toRow)]);

/**
 * Lays slopes out in columns.
 *
 * @param slopes - what was measured
 * @returns the lines of the table
 */
export const formatSlopes = (slopes: readonly Slope[]): string[] =>
  layOut([
    ['slope', 'unit', 'size', 'costs', 'fixed', 'each'],
    ...slopes.map(({ name, unit, sizeOf, points, intercept, perItem }) => [
      name,
      unit,
      sizeOf,
      points.map(([size, cost]) => `${size}: ${format(cost)}`).join(', '),
      format(intercept),
      format(perItem),
    ]),
  ]);
