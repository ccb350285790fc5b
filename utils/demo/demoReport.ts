/**
 * The table and the verdicts at the end of a demonstration.
 */
import hdr from 'hdr-histogram-js';
import type { HistoryEvent } from 'samphirenotch-stand-ins/history.js';
import {
  RULES,
  violations,
  type Evidence,
  type OutWindow,
  type Rule,
} from 'samphirenotch-stand-ins/invariants.js';
import type { CallerRecord } from 'samphirenotch-stand-ins/site/callerRecord.js';

/** One line of the result. */
export interface Verdict {
  readonly text: string;
  readonly holds: boolean;
}

const MS_PER_SECOND = 1000;
const SHOWN_VIOLATIONS = 5;

const percentiles = (records: readonly CallerRecord[]): string[] => {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  records.forEach(({ latencyMs }) => histogram.recordValue(Math.round(latencyMs * MS_PER_SECOND)));
  return [50, 99, 99.9].map((percentile) =>
    (histogram.getValueAtPercentile(percentile) / MS_PER_SECOND).toFixed(1),
  );
};

/**
 * Makes the table of requests.
 *
 * @param records - what callers were told
 * @returns lines of text
 */
export const requestTable = (records: readonly CallerRecord[]): readonly string[] => {
  const classes = [...new Set(records.map(({ taskClass }) => taskClass))];
  const rows = classes.map((taskClass) => {
    const own = records.filter((record) => record.taskClass === taskClass);
    const answered = own.filter(({ outcome }) => outcome === 'answered');
    const refused = own.filter(({ outcome }) => outcome === 'not-run').length;
    const unknown = own.filter(({ outcome }) => outcome === 'unknown').length;
    return [taskClass, String(own.length), ...percentiles(answered), `${refused}`, `${unknown}`];
  });
  const header = ['class', 'count', 'p50 ms', 'p99 ms', 'p99.9 ms', 'refused', 'unknown'];
  const table = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...table.map((row) => (row[column] ?? '').length)),
  );
  return table.map((row) =>
    row.map((cell, column) => cell.padStart(widths[column] ?? 0)).join('  '),
  );
};

/** Attempts that were stopped and whose job ran again later. */
const evictionsOf = (
  stopped: readonly HistoryEvent[],
  events: readonly HistoryEvent[],
): readonly HistoryEvent[] =>
  stopped.filter((stop) =>
    events.some(
      ({ kind, jobId, atMs }) =>
        kind === 'attempt-started' && jobId === stop.jobId && atMs >= stop.atMs,
    ),
  );

/**
 * Counts what became of tasks.
 *
 * @param events - histories of the workers
 * @param window - the time in which a data centre was out
 * @param taskClass - class of the batch tasks
 * @returns lines of text
 */
export const taskLines = (
  events: readonly HistoryEvent[],
  window: OutWindow,
  taskClass: string,
): readonly string[] => {
  const ended = events.filter(({ kind }) => kind === 'attempt-ended');
  const completed = ended.filter((event) => event.phase === 'completed');
  const ofClass = completed.filter((event) => event.taskClass === taskClass);
  const stopped = ended.filter(({ phase }) => phase === 'stopped');
  const evictions = evictionsOf(stopped, events);
  const meanwhile = ofClass.filter(
    ({ atMs }) => atMs > window.acceptedAtMs && atMs < window.endedAtMs,
  );
  const startsThere = events.filter(
    ({ kind, dataCentre, atMs }) =>
      kind === 'attempt-started' &&
      dataCentre === window.dataCentre &&
      atMs > window.acceptedAtMs &&
      atMs < window.endedAtMs,
  );
  const last = Math.max(0, ...startsThere.map(({ atMs }) => atMs - window.acceptedAtMs));
  return [
    `${taskClass} completed: ${ofClass.length}`,
    `evictions: ${evictions.length}`,
    `attempts stopped for good (cleared): ${stopped.length - evictions.length}`,
    `${taskClass} completed while ${window.dataCentre} was out: ${meanwhile.length}`,
    `last start in ${window.dataCentre} after acceptance: ${(last / MS_PER_SECOND).toFixed(2)} s`,
  ];
};

/**
 * Checks every rule.
 *
 * @param evidence - histories of workers and callers
 * @returns a verdict for each rule
 */
export const ruleVerdicts = (evidence: Evidence): readonly Verdict[] => {
  const broken = violations(evidence);
  return (Object.keys(RULES) as Rule[]).map((rule) => {
    const own = broken.filter((violation) => violation.rule === rule);
    const details = own.slice(0, SHOWN_VIOLATIONS).map(({ detail }) => detail);
    const text = own.length === 0 ? RULES[rule] : `${RULES[rule]} (${details.join('; ')})`;
    return { text, holds: own.length === 0 };
  });
};
