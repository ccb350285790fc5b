/**
 * Writes measurements in the Prometheus text format.
 */
import type { Counter, Series } from './histogramRecorder.js';
import { BUCKET_BOUNDS_SECONDS } from './latencySeries.js';

/** A value that goes up and down. */
export interface Gauge {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

const PREFIX = 'samphirenotch_';

const escapeLabel = (text: string): string =>
  text.replace(/\\/gu, '\\\\').replace(/"/gu, '\\"').replace(/\n/gu, '\\n');

const labelName = (name: string): string =>
  name
    .replace(/[^A-Za-z0-9]/gu, '_')
    .replace(/([a-z])([A-Z])/gu, '$1_$2')
    .toLowerCase();

const writeLabels = (labels: Readonly<Record<string, string | undefined>>): string => {
  const written = Object.entries(labels)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${labelName(name)}="${escapeLabel(value ?? '')}"`);
  return written.length === 0 ? '' : `{${written.join(',')}}`;
};

const metricName = (name: string): string => `${PREFIX}${labelName(name)}`;

const writeSeries = (name: string, { key, durations }: Series): readonly string[] => {
  const counts = durations.cumulativeCounts();
  const buckets = BUCKET_BOUNDS_SECONDS.map((bound, index) => {
    const labels = writeLabels({ ...key, le: String(bound) });
    return `${name}_bucket${labels} ${counts[index] ?? 0}`;
  });
  const labels = writeLabels({ ...key });
  return [
    ...buckets,
    `${name}_bucket${writeLabels({ ...key, le: '+Inf' })} ${durations.count()}`,
    `${name}_sum${labels} ${durations.sumSeconds()}`,
    `${name}_count${labels} ${durations.count()}`,
  ];
};

const writeFamily = (
  name: string,
  type: 'histogram' | 'counter' | 'gauge',
  lines: readonly string[],
): readonly string[] => (lines.length === 0 ? [] : [`# TYPE ${name} ${type}`, ...lines]);

const writeValues = (
  values: readonly (Counter | Gauge)[],
  type: 'counter' | 'gauge',
): readonly string[] => {
  const suffix = type === 'counter' ? '_total' : '';
  const names = [...new Set(values.map(({ name }) => name))].sort();
  return names.flatMap((name) => {
    const metric = `${metricName(name)}${suffix}`;
    const lines = values
      .filter((each) => each.name === name)
      .map(({ labels, value }) => `${metric}${writeLabels(labels)} ${value}`);
    return writeFamily(metric, type, lines);
  });
};

/**
 * Writes measurements.
 *
 * @param series - histograms; those of classes and those of tenants become two metrics
 * @param counters - counters
 * @param gauges - gauges
 * @returns the text
 */
export const writePrometheus = (
  series: readonly Series[],
  counters: readonly Counter[],
  gauges: readonly Gauge[],
): string => {
  const classes = `${PREFIX}step_duration_seconds`;
  const tenants = `${PREFIX}tenant_duration_seconds`;
  const linesOf = (name: string, isOfTenants: boolean): readonly string[] =>
    series
      .filter(({ key }) => (key.tenant !== undefined) === isOfTenants)
      .flatMap((each) => writeSeries(name, each));
  const lines = [
    ...writeFamily(classes, 'histogram', linesOf(classes, false)),
    ...writeFamily(tenants, 'histogram', linesOf(tenants, true)),
    ...writeValues(counters, 'counter'),
    ...writeValues(gauges, 'gauge'),
  ];
  return `${lines.join('\n')}\n`;
};
