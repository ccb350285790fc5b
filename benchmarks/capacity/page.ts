/**
 * Writes the capacity page out of the figures.
 *
 * @packageDocumentation
 */

import { format } from 'prettier';

import type { Slope as SiteSlope } from '../costs/slope.js';
import type { CapacitySection, Figure, MeasuredSlopes } from './figures.js';
import { LETTER } from './inputs.js';
import { type CapacityLimit, type CapacityModel, modelCapacity } from './model.js';

const INTRODUCTION = `# Capacity at the letter's size

This page is written by \`benchmarks/capacityMain.ts\` from \`slopes.json\` (parts of an entry) and
\`costs.json\` (whole entries) in \`benchmarks/results/\`; a test checks that they agree. Change none by
hand: \`npm run bench\` and \`npm run bench:costs\` measure, then \`node .build/benchmarks/capacityMain.js\`
writes the page.

Each figure says where it comes from: **letter** or brief, **setting** in the code, **measured** here
(a slope over at least four sizes, read between its points), **derived** from other figures, or **assumed**.
All measurements are of one machine and loopback; they are slopes to plan with, not promises.
`;

const NOT_MEASURED = `## Not measured

- The rate of requests at the letter's size is not named, so entries for requests come on top.
- TLS, and entries on VMs of their own: all processes shared one busy machine.
- Checking a whole set of configuration, and its memory: only the change of an index is measured.
- Memory of one idle and one busy connection apart from the worker it belongs to.
- Group commit and recovery against a real store: its latency is assumed.
- Anything across regions: the hour without a connection between regions is covered by tests of
  behaviour, not by a measurement.
`;

const INDEX = `## Sorted blocks for the configuration

A change among 16,000 objects was measured three ways: an index in two sorted levels that copies only
the blocks it touches, after "MongoDB Routing Info Refresh Optimization (Two-Dimensional Sorting &
Search)", a copied map, and a sorted rebuild. The table of slopes below has the figures: sorted blocks
win the change by three orders of magnitude and do not grow with the set; look-ups in them are several
times slower than in a map. Entries use maps and apply a change by a rebuild. At 42,000 changes a day
that is one rebuild in two seconds, far below what an entry notices; the blocks stay in
\`benchmarks/slopes/sortedBlocks.ts\` as what would be taken if the set grew beyond 100,000 objects.
`;

const round = (value: number): string => {
  if (value === 0) return '0';
  if (Math.abs(value) >= 1_000) return Math.round(value).toLocaleString('en-GB');
  return String(Number(value.toPrecision(3)));
};

const figureRow = ({ name, value, unit, basis, from }: Figure): string =>
  `| ${name} | ${round(value)} ${unit} | ${basis} | ${from} |`;

const sectionText = ({ title, mechanism, figures }: CapacitySection): string =>
  [
    `## ${title}`,
    '',
    `Carried by: ${mechanism}`,
    '',
    '| Figure | Value | Basis | From |',
    '| --- | --- | --- | --- |',
    ...figures.map(figureRow),
    '',
  ].join('\n');

const limitRow = ({ what, at, unit, needed, then }: CapacityLimit): string => {
  const isPassed = needed > at ? 'passed' : 'held';
  return `| ${what} | ${round(at)} ${unit} | ${round(needed)} | ${isPassed} | ${then} |`;
};

const limitsText = ({ limits }: CapacityModel): string =>
  [
    '## What breaks first',
    '',
    '| What | At | Needed | At the letter’s size | What would be changed then |',
    '| --- | --- | --- | --- | --- |',
    ...limits.map(limitRow),
    '',
  ].join('\n');

const memoryText = (isMemoryHeld: boolean): readonly string[] =>
  isMemoryHeld
    ? ['- Each of them stays within 128 MB.']
    : [
        '- No number of entries keeps each within 128 MB: at rest, with one worker and its histograms, an',
        '  entry takes more. The table of memory has what it takes at the number above.',
      ];

const summaryText = ({ entries, isMemoryHeld }: CapacityModel): string =>
  [
    '## In short',
    '',
    `- ${entries} entries for ${round(LETTER.workers)} workers: the larger of what heartbeats to workers ask`,
    '  for and, where it can be held, what memory asks for. Nothing of the system runs on workers.',
    ...memoryText(isMemoryHeld),
    '- An entry at rest takes more than 3.3 % of a core whatever it owns, as measured on a busy machine;',
    '  spread over all nodes it is far less. Read for an entry’s own VM the letter’s bound is passed.',
    '- The list of VMs is read whole every second by every entry: at the letter’s size that is megabytes',
    '  a second for each. It has to be read by few and told to the rest as changes, as configuration is.',
    '- Starts are not what the store feels first: commits carry all changes of a partition together, and',
    '  renewals of sessions, one of each entry and second, take about half of its writes.',
    '- If the store takes ten times as much while the fleet grows a hundred times, commits fall back to',
    '  the shortest interval of the code, and renewals are a small share.',
    '',
  ].join('\n');

const costsText = (costs: readonly SiteSlope[]): string =>
  [
    '## Measured costs of whole entries',
    '',
    'Measured by `benchmarks/costs/`, kept in `benchmarks/results/costs.json`.',
    '',
    '| Cost | Unit | Size counts | Costs at sizes | Fixed | Each | Machine |',
    '| --- | --- | --- | --- | --- | --- | --- |',
    ...costs.map(({ name, unit, sizeAxis, points, intercept, slope, machine }) => {
      const shown = points.map(([size, cost]) => `${round(size)}: ${round(cost)}`).join('; ');
      return `| ${name} | ${unit} | ${sizeAxis} | ${shown} | ${round(intercept)} | ${round(slope)} | ${machine} |`;
    }),
    '',
  ].join('\n');

const slopesText = ({ slopes, node }: MeasuredSlopes): string =>
  [
    '## Measured slopes',
    '',
    `Node ${node}. Measured by \`benchmarks/slopes/\`, kept in \`benchmarks/results/slopes.json\`.`,
    '',
    '| Slope | Unit | Size counts | Costs at sizes | Fixed | Each |',
    '| --- | --- | --- | --- | --- | --- |',
    ...slopes.map(({ name, unit, sizeOf, points, intercept, perItem }) => {
      const costs = points.map(([size, cost]) => `${round(size)}: ${round(cost)}`).join('; ');
      return `| ${name} | ${unit} | ${sizeOf} | ${costs} | ${round(intercept)} | ${round(perItem)} |`;
    }),
    '',
  ].join('\n');

/**
 * Writes the page.
 *
 * @param measured - slopes of single decisions, state and messages
 * @param costs - slopes of whole entries
 * @returns its text
 */
export const writePage = async (
  measured: MeasuredSlopes,
  costs: readonly SiteSlope[],
): Promise<string> => {
  const model = modelCapacity(measured, costs);
  const text = [
    INTRODUCTION,
    summaryText(model),
    ...model.sections.map(sectionText),
    limitsText(model),
    INDEX,
    NOT_MEASURED,
    slopesText(measured),
    costsText(costs),
  ].join('\n');

  return format(text, { parser: 'markdown', printWidth: 100, singleQuote: true });
};
