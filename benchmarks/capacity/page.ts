/**
 * Writes the capacity page out of the figures.
 *
 * @packageDocumentation
 */

import { format } from 'prettier';

import type { CapacitySection, Figure, MeasuredSlopes } from './figures.js';
import { LETTER } from './inputs.js';
import { type CapacityLimit, type CapacityModel, modelCapacity } from './model.js';

const INTRODUCTION = `# Capacity at the letter's size

This page is written by \`benchmarks/capacityMain.ts\` from \`benchmarks/results/slopes.json\`; a test
checks that both agree. Change neither by hand: run \`npm run bench\`, which measures and writes both.

Each figure says where it comes from: **letter** or brief, **setting** in the code, **measured** here
(a slope over at least four sizes, read between its points), **derived** from other figures, or **assumed**.
All measurements are of one machine and loopback; they are slopes to plan with, not promises.
`;

const NOT_MEASURED = `## Not measured

- A request through an entry, direct and forwarded, against a bare relay: only the send from an entry
  to a worker is measured (slope "send of a request to a worker"). The rate of requests at the
  letter's size is not named either, so entries for requests come on top of the number above.
- Framing and TLS of the messages between entries, and processor of gRPC around their encoding.
- Checking a whole set of configuration, and its memory: only the change of an index is measured.
- Memory of one owned worker and of one connection in an entry; bytes between an entry and a worker,
  which count against the 7 KB a second of the worker's VM as well.
- Recovery of a partition from a real store: only reads are counted and decoding is measured.
- Group commit against a real store: bytes and encoding are measured, its latency is assumed.
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

const summaryText = ({ entries }: CapacityModel): string =>
  [
    '## In short',
    '',
    `- ${entries} entries for ${round(LETTER.workers)} workers: so many are needed for heartbeats to`,
    '  workers to stay within 3.3 % of a core of each. Nothing of the system runs on workers.',
    '- Starts are not what the store feels: commits carry all changes of a partition together.',
    '  Renewals of sessions, one of each entry and second, take more of its writes.',
    '- If the store grows ten times while the fleet grows a hundred times, commits fall back to the',
    '  shortest interval of the code, and renewals become a small share.',
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
 * @param measured - what the benchmarks wrote
 * @returns its text
 */
export const writePage = async (measured: MeasuredSlopes): Promise<string> => {
  const model = modelCapacity(measured);
  const text = [
    INTRODUCTION,
    summaryText(model),
    ...model.sections.map(sectionText),
    limitsText(model),
    INDEX,
    NOT_MEASURED,
    slopesText(measured),
  ].join('\n');

  return format(text, { parser: 'markdown', printWidth: 100, singleQuote: true });
};
