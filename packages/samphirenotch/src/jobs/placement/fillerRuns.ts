/**
 * Gathers starts and ends of fillers and logs them by step: there are hundreds a second of them.
 *
 * A line lists its runs in columns: the first entries of all columns are of one run, and so on.
 */
import { partLog } from '../../observability/log.js';
import type { Clock } from '../../time/clock.js';

import type { OwnedStep } from '../model/ownedJob.js';

/** Longest time for which a start or an end is kept before it is logged, in milliseconds. */
const MAX_GATHER_MS = 1_000;

/** Most runs of a line; lines of more than 4 KiB are cut by some readers. */
export const MAX_RUNS_OF_LINE = 40;

/** Stands for a value that is not known. */
const UNKNOWN = '-';

/** A run in a line. */
interface GatheredRun {
  readonly index: number;
  readonly run: number;
  readonly worker: string;
}

/** A start of a filler. */
export interface FillerStart extends GatheredRun {
  readonly dataCentre: string;
  /** Whether it is beside its data; undefined if its step names no place. */
  readonly isNear: boolean | undefined;
  /** Time that its job has left beyond its longest chain of estimates, in milliseconds. */
  readonly slackMs: number;
  readonly freeMilliCores: number;
  readonly viewAgeMs: number;
  readonly leaseLeftMs: number;
  readonly unreportedWorkers: number;
  readonly fencingToken: number;
  readonly configuration: number | undefined;
}

/** An end of a run of a filler; times in milliseconds, undefined if they are not known. */
export interface FillerEnd extends GatheredRun {
  readonly kind: string;
  /** The owner tracked the run. */
  readonly isKnown: boolean;
  readonly isSaved: boolean;
  readonly orderMs: number | undefined;
  readonly workedMs: number | undefined;
  readonly afterMs: number | undefined;
}

/** Something that happened at a monotonic time in milliseconds. */
interface Timed<T> {
  readonly atMs: number;
  readonly what: T;
}

type Group<T> = Timed<T>[];

interface GatheredStep {
  readonly sinceMs: number;
  readonly starts: Group<FillerStart>[];
  readonly ends: Group<FillerEnd>[];
}

/** Starts of which a line says the same. */
const areStartsAlike = (one: FillerStart, other: FillerStart): boolean =>
  one.dataCentre === other.dataCentre &&
  one.isNear === other.isNear &&
  one.slackMs < 0 === other.slackMs < 0;

/** Ends of which a line says the same. */
const areEndsAlike = (one: FillerEnd, other: FillerEnd): boolean =>
  one.kind === other.kind && one.isKnown === other.isKnown && one.isSaved === other.isSaved;

/** Adds to the group of what is alike, and returns its size. */
const addTo = <T>(
  groups: Group<T>[],
  added: Timed<T>,
  areAlike: (one: T, other: T) => boolean,
): number => {
  const group = groups.find(([first]) => first && areAlike(first.what, added.what));
  if (group) return group.push(added);
  groups.push([added]);
  return 1;
};

const column = <T>(
  group: Group<T>,
  valueOf: (item: Timed<T>) => string | number | undefined,
): string => group.map((item) => valueOf(item) ?? UNKNOWN).join(' ');

/** The columns that all lines have. */
const columnsOf = (group: Group<GatheredRun>, nowMs: number) => ({
  indexes: column(group, ({ what }) => what.index),
  runs: column(group, ({ what }) => what.run),
  workers: column(group, ({ what }) => what.worker),
  agoMs: column(group, ({ atMs }) => Math.round(nowMs - atMs)),
});

/** Logs what fillers do, some time later. */
export class FillerRuns {
  private readonly log = partLog('fillers', 'bulk');

  /** The one whose first start or end is the oldest comes first. */
  private readonly steps = new Map<OwnedStep, GatheredStep>();

  /**
   * @param clock - time
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Gathers a start.
   *
   * @param step - step of the task
   * @param start - the start
   */
  addStart(step: OwnedStep, start: FillerStart): void {
    const timed = { atMs: this.clock.monotonicMs(), what: start };
    const size = addTo(this.gathered(step).starts, timed, areStartsAlike);
    if (size >= MAX_RUNS_OF_LINE) this.write(step);
  }

  /**
   * Gathers an end.
   *
   * @param step - step of the task
   * @param end - the end
   */
  addEnd(step: OwnedStep, end: FillerEnd): void {
    const timed = { atMs: this.clock.monotonicMs(), what: end };
    const size = addTo(this.gathered(step).ends, timed, areEndsAlike);
    if (size >= MAX_RUNS_OF_LINE) this.write(step);
  }

  /**
   * Logs what was gathered of a step, before a line about one of its tasks.
   *
   * @param step - the step
   */
  write(step: OwnedStep): void {
    const gathered = this.steps.get(step);
    if (!gathered) return;
    this.steps.delete(step);
    const nowMs = this.clock.monotonicMs();
    gathered.starts.forEach((group) => this.writeStarts(step, group, nowMs));
    gathered.ends.forEach((group) => this.writeEnds(step, group, nowMs));
  }

  /** Logs what was gathered long enough ago. */
  writeDue(): void {
    const dueMs = this.clock.monotonicMs() - MAX_GATHER_MS;
    for (const [step, { sinceMs }] of this.steps) {
      if (sinceMs > dueMs) return;
      this.write(step);
    }
  }

  /** Logs all that was gathered. */
  writeAll(): void {
    [...this.steps.keys()].forEach((step) => this.write(step));
  }

  private gathered(step: OwnedStep): GatheredStep {
    const known = this.steps.get(step);
    if (known) return known;
    const added = { sinceMs: this.clock.monotonicMs(), starts: [], ends: [] };
    this.steps.set(step, added);
    return added;
  }

  private writeStarts(step: OwnedStep, group: Group<FillerStart>, nowMs: number): void {
    const starts = group.map(({ what }) => what);
    const last = starts.at(-1);
    if (!last) return;
    const { job } = step.occurrence;
    const least = (valueOf: (start: FillerStart) => number): number =>
      Math.min(...starts.map(valueOf));
    const most = (valueOf: (start: FillerStart) => number): number =>
      Math.max(...starts.map(valueOf));
    this.log.info('Fillers were started', {
      step: step.id,
      starts: starts.length,
      ...columnsOf(group, nowMs),
      dataCentre: last.dataCentre,
      isNear: last.isNear,
      milliCores: step.spec.size.milliCores,
      isGuest: job.isGuest,
      delegation: job.delegation?.name,
      jobRevision: job.revision,
      slackMs: least(({ slackMs }) => slackMs),
      freeMilliCores: least(({ freeMilliCores }) => freeMilliCores),
      configuration: last.configuration,
      viewAgeMs: most(({ viewAgeMs }) => viewAgeMs),
      fencingToken: last.fencingToken,
      leaseLeftMs: least(({ leaseLeftMs }) => leaseLeftMs),
      unreportedWorkers: most(({ unreportedWorkers }) => unreportedWorkers),
    });
  }

  private writeEnds(step: OwnedStep, group: Group<FillerEnd>, nowMs: number): void {
    const [first] = group;
    if (!first) return;
    const { kind, isKnown, isSaved } = first.what;
    this.log.info('Runs of fillers have ended', {
      step: step.id,
      kind,
      ends: group.length,
      known: isKnown,
      ...columnsOf(group, nowMs),
      ...(isKnown && {
        orderMs: column(group, ({ what }) => what.orderMs),
        workedMs: column(group, ({ what }) => what.workedMs),
        afterMs: column(group, ({ what }) => what.afterMs),
      }),
      milliCores: step.spec.size.milliCores,
      isSaved,
    });
  }
}
