/**
 * Learns how much fillers disturb serving tasks, by pair of images.
 *
 * The inverse of a serving task's tail falls about linearly with the processors that fillers use
 * beside it, at a slope that differs widely by pair. Tasks of one step share their own load, so the
 * least disturbed of them shows what the tail would be without fillers.
 */
import { FULL_PERCENT, isFiller, isServing, type OwnedRun, type OwnedStep } from './ownedJob.js';
import { PairSlopes, type FillerUse } from './pairSlopes.js';

/** Tail over target from which figures are saturated: they bound the loss from below only. */
const SATURATED = 5;

/** Age up to which a step's undisturbed tail is used, in milliseconds. */
const BASE_AGE_MS = 1_500;

/** Time for which a run must have been in progress before its figures count, in milliseconds. */
const SETTLED_MS = 700;

/** Share of a reading's error that the level takes over; a step has several readings a second. */
const LEVEL_GAIN = 0.25;

/** Share of a reading's error that the trend takes over within its span. */
const TREND_GAIN = 0.1;

/** Span over which an error is taken to have grown, in milliseconds. */
const TREND_SPAN_MS = 500;

/** Loss beside fillers at which a reading has half its trust, in inverse milliseconds. */
const TRUSTED_LOSS = 0.01;

/** How far ahead tails are predicted, in milliseconds: a look, an order, and until it shows. */
const AHEAD_MS = 700;

/** What is known of a step's tail without fillers. */
interface Base {
  readonly inverse: number;
  /** Change by millisecond. */
  readonly trend: number;
  readonly atMs: number;
}

/** Slopes by pair, and undisturbed tails by step. */
export class Interference {
  private readonly slopes = new Map<string, PairSlopes>();

  private readonly bases = new WeakMap<OwnedStep, Base>();

  /**
   * Predicts the tail of a serving task.
   *
   * @param run - the serving task's run
   * @param uses - fillers beside it
   * @param nowMs - monotonic time in milliseconds
   * @returns the inverse of the tail in milliseconds; undefined while nothing is known of the step
   */
  inverseTail(run: OwnedRun, uses: readonly FillerUse[], nowMs: number): number | undefined {
    const base = this.baseOf(run.task.step, nowMs + AHEAD_MS);
    if (base === undefined) return undefined;
    return base - this.loss(run.task.step.spec.image, uses);
  }

  /**
   * Tells what fillers cost a serving image.
   *
   * @param serving - the image
   * @param uses - fillers beside it
   * @returns inverse milliseconds
   */
  loss(serving: string, uses: readonly FillerUse[]): number {
    return this.slopesOf(serving).predict(uses);
  }

  /**
   * Tells the slope of a pair.
   *
   * @param serving - image of the serving task
   * @param filler - image of the filler
   * @returns inverse milliseconds lost per worker of use
   */
  slope(serving: string, filler: string): number {
    return this.slopesOf(serving).slope(filler);
  }

  /**
   * Learns from one look at a worker.
   *
   * @param runs - everything in progress on it
   * @param milliCores - the worker's processors
   * @param nowMs - monotonic time in milliseconds
   */
  learn(runs: readonly OwnedRun[], milliCores: number, nowMs: number): void {
    const settled = ({ confirmedMs }: OwnedRun): boolean =>
      confirmedMs !== undefined && nowMs - confirmedMs >= SETTLED_MS;
    const fillers = runs.filter(isFiller);
    const serving = runs.filter(
      (run) => isServing(run) && run.gauge > 0 && run.percent === FULL_PERCENT,
    );
    const uses = fillers.map(({ task, gauge }) => ({
      image: task.step.spec.image,
      share: gauge / milliCores,
    }));
    serving.filter(settled).forEach((run) => {
      const lost = this.loss(run.task.step.spec.image, uses);
      if (fillers.length > 0) this.learnFrom(run, uses, nowMs);
      this.noteBase(run, lost, nowMs);
    });
  }

  /** Follows a step's undisturbed tail; what is known to be lost is added back, and trusted less. */
  private noteBase({ task, gauge }: OwnedRun, lost: number, nowMs: number): void {
    const { step } = task;
    const reading = 1 / gauge + lost;
    const known = this.bases.get(step);
    if (!known || nowMs - known.atMs > BASE_AGE_MS) {
      this.bases.set(step, { inverse: reading, trend: 0, atMs: nowMs });
      return;
    }
    const elapsedMs = nowMs - known.atMs;
    const expected = known.inverse + known.trend * elapsedMs;
    const trust = TRUSTED_LOSS / (TRUSTED_LOSS + lost);
    const error = reading - expected;
    this.bases.set(step, {
      inverse: expected + LEVEL_GAIN * trust * error,
      trend: known.trend + (TREND_GAIN * trust * error) / TREND_SPAN_MS,
      atMs: nowMs,
    });
  }

  private baseOf(step: OwnedStep, atMs: number): number | undefined {
    const base = this.bases.get(step);
    if (!base) return undefined;
    const elapsedMs = atMs - base.atMs;
    if (elapsedMs > 2 * BASE_AGE_MS) return undefined;
    return Math.max(0, base.inverse + base.trend * Math.min(elapsedMs, BASE_AGE_MS));
  }

  private learnFrom(run: OwnedRun, uses: readonly FillerUse[], nowMs: number): void {
    const { image, targetMs } = run.task.step.spec;
    const base = this.baseOf(run.task.step, nowMs);
    if (base === undefined) return;
    const lost = base - 1 / run.gauge;
    const slopes = this.slopesOf(image);
    if (run.gauge > SATURATED * targetMs && slopes.predict(uses) > lost) return;
    slopes.learn(uses, lost);
  }

  private slopesOf(serving: string): PairSlopes {
    const known = this.slopes.get(serving);
    if (known) return known;
    const slopes = new PairSlopes();
    this.slopes.set(serving, slopes);
    return slopes;
  }
}
