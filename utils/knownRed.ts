/**
 * Reads the list of tests that are known to fail, and holds results of tests against it.
 *
 * @packageDocumentation
 */

import type { TapTest } from './tap.js';

/** One entry of the list. */
export interface KnownRed {
  /** The title of the test. */
  readonly title: string;
  /** The whole line, as written. */
  readonly line: string;
}

/** What the tests amount to once the list is taken into account. */
export interface TestSummary {
  /** How many tests passed. */
  readonly passed: number;
  /** The titles of tests that failed and are not listed. */
  readonly failed: readonly string[];
  /** The listed entries whose tests failed, as expected. */
  readonly passedOver: readonly string[];
  /** What is wrong with the list itself. */
  readonly listFaults: readonly string[];
}

const fieldCount = 4;

/**
 * Tells whether an entry is about a bound of a benchmark, which the benchmarks themselves judge.
 *
 * @param title - The title of the entry.
 * @returns True if it is.
 */
export const isBound = (title: string): boolean => title.startsWith('bound: ');

/**
 * Reads the list: `title of test | command with seed | what was seen | issue N`, one a line.
 *
 * @param text - The text of the list.
 * @returns The entries; lines that are empty or start with `#` are left out.
 */
export const parseKnownRed = (text: string): KnownRed[] =>
  text
    .split('\n')
    .map((line) => line.trim())
    .filter((line) => line !== '' && !line.startsWith('#'))
    .map((line) => ({ title: line.split('|')[0]?.trim() ?? '', line }));

const findFault = (entry: KnownRed, tests: readonly TapTest[]): string | undefined => {
  if (entry.line.split('|').length !== fieldCount) {
    return `entry needs ${fieldCount} fields: ${entry.line}`;
  }

  const named = tests.filter(({ title }) => title === entry.title);

  if (named.length === 0) {
    return `entry names no test: ${entry.line}`;
  }

  return named.every(({ ok }) => ok) ? `listed test passes: ${entry.line}` : undefined;
};

/**
 * Holds the results of tests against the list.
 *
 * @param tests - The results.
 * @param entries - The entries of the list.
 * @returns What they amount to.
 */
export const summarizeTests = (
  tests: readonly TapTest[],
  entries: readonly KnownRed[],
): TestSummary => {
  const failing = tests.filter(({ ok }) => !ok).map(({ title }) => title);
  const listed = new Set(entries.map(({ title }) => title));

  return {
    passed: tests.filter(({ ok }) => ok).length,
    failed: failing.filter((title) => !listed.has(title)),
    passedOver: entries.filter(({ title }) => failing.includes(title)).map(({ line }) => line),
    listFaults: entries
      .map((entry) => findFault(entry, tests))
      .filter((fault) => fault !== undefined),
  };
};
