/**
 * Takes lines about several runs of fillers apart.
 */
import type { LogLine } from './logLine.js';

/** Stands for a value that is not known. */
const UNKNOWN = '-';

/** Columns of times; those that are left out are not known. */
const TIMES = ['orderMs', 'workedMs', 'afterMs'] as const;

const columnOf = ({ fields }: LogLine, name: string): readonly string[] => {
  const value = fields[name];
  return typeof value === 'string' ? value.split(' ') : [];
};

const figureOf = (value: string | undefined): number | undefined =>
  value === undefined || value === UNKNOWN ? undefined : Number(value);

/**
 * Makes a line about each of the runs that a line lists in columns.
 *
 * @param line - the line
 * @returns lines with the task, the run and the times of one run, at the time at which it started or ended
 */
export const linesOfRuns = (line: LogLine): readonly LogLine[] => {
  const runs = columnOf(line, 'runs');
  const workers = columnOf(line, 'workers');
  const ago = columnOf(line, 'agoMs');
  const times = TIMES.map((name) => [name, columnOf(line, name)] as const);
  return columnOf(line, 'indexes').flatMap((index, at) => {
    const run = figureOf(runs[at]);
    const agoMs = figureOf(ago[at]);
    if (run === undefined || agoMs === undefined) return [];
    const fields = {
      ...line.fields,
      ...Object.fromEntries(times.map(([name, values]) => [name, figureOf(values[at])])),
      taskId: `${String(line.fields.step)}.${index}`,
      run,
      worker: workers[at],
    };
    return [{ ...line, atMs: line.atMs - agoMs, fields }];
  });
};
