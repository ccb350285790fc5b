/**
 * Holds bounds that are not met against the list of those that are known not to be.
 *
 * @packageDocumentation
 */

import type { Comparison } from './comparison.js';

/** What the comparisons amount to once the list is taken into account. */
export interface BoundSummary {
  /** Bounds that are not met and not listed. */
  readonly missed: readonly string[];
  /** Listed entries whose bounds are not met, as expected. */
  readonly passedOver: readonly string[];
  /** What is wrong with the list itself. */
  readonly listFaults: readonly string[];
}

const PREFIX = 'bound: ';
const FIELD_COUNT = 4;

/**
 * Names the bound of a comparison, as the list does.
 *
 * @param comparison - the comparison
 * @returns its title
 */
export const boundTitle = (comparison: Comparison): string => {
  const { decision, firm, scenario, metric, baselineName } = comparison;
  return `${PREFIX}${decision}, ${firm}, ${scenario}, ${metric} against ${baselineName}`;
};

const findFault = (line: string, comparisons: readonly Comparison[]): string | undefined => {
  const fields = line.split('|').map((field) => field.trim());
  if (fields.length !== FIELD_COUNT) return `entry needs ${FIELD_COUNT} fields: ${line}`;
  const named = comparisons.find((comparison) => boundTitle(comparison) === fields[0]);
  if (!named) return `entry names no bound: ${line}`;
  return named.isMet ? `listed bound is met: ${line}` : undefined;
};

/**
 * Holds comparisons against the list: `bound: ... | command | what was seen | issue N`, one a line.
 *
 * @param comparisons - all comparisons
 * @param list - text of the list; lines that do not begin with `bound: ` are for tests
 * @returns what they amount to
 */
export const summarizeBounds = (comparisons: readonly Comparison[], list: string): BoundSummary => {
  const lines = list.split('\n').filter((line) => line.startsWith(PREFIX));
  const listed = new Set(lines.map((line) => line.split('|')[0]?.trim()));
  const missed = comparisons.filter(({ isMet }) => !isMet).map(boundTitle);
  return {
    missed: missed.filter((title) => !listed.has(title)),
    passedOver: lines.filter((line) => missed.includes(line.split('|')[0]?.trim() ?? '')),
    listFaults: lines
      .map((line) => findFault(line, comparisons))
      .filter((fault) => fault !== undefined),
  };
};
