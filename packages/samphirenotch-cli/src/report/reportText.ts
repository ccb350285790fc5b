/**
 * Writes a report for people.
 */
import { writeTable, type Row } from '../table.js';
import type { LogReport } from './logReport.js';

const MILLI = 1_000;

const section = (title: string, rows: readonly Row[]): readonly string[] =>
  rows.length === 0 ? [] : ['', `${title}:`, ...writeTable(rows).map((line) => `  ${line}`)];

const inCores = (room: Readonly<Record<string, number>>): Row => {
  const { openJobs, ...milliCores } = room;
  const cores = Object.entries(milliCores).map(([name, value]) => [
    name,
    Math.round(value / MILLI),
  ]);
  return { ...Object.fromEntries(cores), openJobs };
};

/**
 * Writes a report.
 *
 * @param report - the report
 * @returns lines of text
 */
export const writeReport = (report: LogReport): readonly string[] => [
  `lines from ${report.fromMs / MILLI} s to ${report.toMs / MILLI} s, ` +
    `${report.delegatedTasks} tasks handed from share to share`,
  ...section(
    'jobs',
    report.outcomes.map((row) => ({ ...row })),
  ),
  ...section(
    'waits',
    report.waits.map((row) => ({ ...row })),
  ),
  ...section(
    'runs',
    report.runs.map((row) => ({ ...row })),
  ),
  ...section(
    'places',
    report.places.map((row) => ({ ...row })),
  ),
  ...section(
    'room, cores',
    report.rooms.map(({ second, shares, room }) => ({ second, shares, ...inCores(room) })),
  ),
  ...section(
    'answers to callers',
    report.answers.map((row) => ({ ...row })),
  ),
  ...section(
    'slowest jobs beyond their objective',
    report.slowest.map((row) => ({ ...row })),
  ),
];
