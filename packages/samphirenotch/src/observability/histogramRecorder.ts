/**
 * Records measurements in a bounded number of histograms and counters.
 */
import { LatencySeries } from './latencySeries.js';
import type { Recorder, Step, Subject } from './recorder.js';

/** What a series measures. A series is of a class by steps, or of a tenant in total. */
export interface SeriesKey {
  readonly step: Step;
  readonly taskClass?: string;
  readonly tenant?: string;
  readonly dataCentre: string;
}

/** Durations with what they measure. */
export interface Series {
  readonly key: SeriesKey;
  readonly durations: LatencySeries;
}

/** One counter. */
export interface Counter {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** How many series are kept. */
export interface SeriesBounds {
  readonly classes: number;
  readonly tenants: number;
  readonly counters: number;
}

/** Stands for all classes or tenants that have no series of their own. */
export const OTHER = 'other';

const DEFAULT_BOUNDS: SeriesBounds = { classes: 64, tenants: 256, counters: 2_000 };
const OVERFLOW_COUNTER = 'dropped_measurements';

const counterKey = (name: string, labels: Readonly<Record<string, string>>): string =>
  JSON.stringify([name, ...Object.entries(labels).sort(([a], [b]) => (a < b ? -1 : 1))]);

/** Records in HDR histograms. */
export class HistogramRecorder implements Recorder {
  private readonly classes = new Set<string>();

  private readonly ofClasses = new Map<string, Series>();

  private readonly ofTenants = new Map<string, Series>();

  private readonly countersByKey = new Map<string, Counter>();

  /**
   * @param dataCentre - where this entry is
   * @param bounds - how many series are kept; what is beyond them shares the series `other`
   */
  constructor(
    private readonly dataCentre: string,
    private readonly bounds: SeriesBounds = DEFAULT_BOUNDS,
  ) {}

  time(step: Step, subject: Subject, durationMs: number): void {
    this.classSeries(step, subject.taskClass).durations.record(durationMs);
    if (step === 'total') this.tenantSeries(subject.tenant).durations.record(durationMs);
  }

  count(name: string, labels: Readonly<Record<string, string>> = {}, by = 1): void {
    const key = counterKey(name, labels);
    const known = this.countersByKey.get(key);
    if (!known && this.countersByKey.size >= this.bounds.counters && name !== OVERFLOW_COUNTER) {
      this.count(OVERFLOW_COUNTER);
      return;
    }
    this.countersByKey.set(key, { name, labels, value: (known?.value ?? 0) + by });
  }

  /** @returns all histograms */
  series(): readonly Series[] {
    return [...this.ofClasses.values(), ...this.ofTenants.values()];
  }

  /** @returns all counters */
  counters(): readonly Counter[] {
    return [...this.countersByKey.values()];
  }

  private classSeries(step: Step, asked: string): Series {
    const isKept = this.classes.has(asked) || this.classes.size < this.bounds.classes;
    const taskClass = isKept ? asked : OTHER;
    if (isKept) this.classes.add(asked);
    const key = `${step} ${taskClass}`;
    const known = this.ofClasses.get(key);
    if (known) return known;
    const { dataCentre } = this;
    const series = { key: { step, taskClass, dataCentre }, durations: new LatencySeries() };
    this.ofClasses.set(key, series);
    return series;
  }

  private tenantSeries(asked: string): Series {
    const isKept = this.ofTenants.has(asked) || this.ofTenants.size < this.bounds.tenants;
    const tenant = isKept ? asked : OTHER;
    const known = this.ofTenants.get(tenant);
    if (known) return known;
    const { dataCentre } = this;
    const key: SeriesKey = { step: 'total', tenant, dataCentre };
    const series = { key, durations: new LatencySeries() };
    this.ofTenants.set(tenant, series);
    return series;
  }
}
