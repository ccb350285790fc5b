/**
 * Histograms as they travel to operators, and their sums over entries.
 */
import { decodeFromCompressedBase64, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import type { Series, SeriesKey } from './histogramRecorder.js';
import { newHistogram, percentileMs } from './latencyHistogram.js';

/** What histograms are grouped by. */
export type Grouping = 'tenant' | 'class' | 'data-centre';

/** A histogram as an entry hands it out. */
export interface EncodedSeries extends SeriesKey {
  /** HdrHistogram V2, compressed, in base 64; microseconds. */
  readonly encoded: string;
}

/** Percentiles of a group. */
export interface HistogramSummary {
  /** Name of the tenant, class or data centre. */
  readonly group: string;
  readonly step: string;
  readonly count: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maximumMs: number;
}

/**
 * Encodes a series.
 *
 * @param series - the series
 * @returns what is handed out
 */
export const encodeSeries = ({ key, durations }: Series): EncodedSeries => ({
  ...key,
  encoded: encodeIntoCompressedBase64(durations.histogram),
});

const groupOf = (series: EncodedSeries, grouping: Grouping): string | undefined => {
  if (grouping === 'tenant') return series.tenant;
  return grouping === 'class' ? series.taskClass : series.taskClass && series.dataCentre;
};

const summarize = (
  group: string,
  step: string,
  members: readonly EncodedSeries[],
): HistogramSummary => {
  const sum = newHistogram();
  members.forEach(({ encoded }) => sum.add(decodeFromCompressedBase64(encoded)));
  return {
    group,
    step,
    count: sum.totalCount,
    p50Ms: percentileMs(sum, 50),
    p90Ms: percentileMs(sum, 90),
    p99Ms: percentileMs(sum, 99),
    p999Ms: percentileMs(sum, 99.9),
    maximumMs: percentileMs(sum, 100),
  };
};

/**
 * Sums series of one or more entries by group and step.
 *
 * @param series - the series
 * @param grouping - what to group by
 * @returns percentiles, by group and step
 */
export const summarizeSeries = (
  series: readonly EncodedSeries[],
  grouping: Grouping,
): readonly HistogramSummary[] => {
  const groups = new Map<string, EncodedSeries[]>();
  for (const each of series) {
    const group = groupOf(each, grouping);
    if (group === undefined) continue;
    const key = JSON.stringify([group, each.step]);
    groups.set(key, [...(groups.get(key) ?? []), each]);
  }
  return [...groups.values()]
    .map((members) => ({ group: groupOf(members[0]!, grouping) ?? '', members }))
    .map(({ group, members }) => summarize(group, members[0]!.step, members))
    .sort((a, b) => a.group.localeCompare(b.group, 'en') || a.step.localeCompare(b.step, 'en'));
};
