/**
 * Learns how much fillers disturb serving tasks, by pair of images.
 *
 * The inverse of a serving task's tail falls about linearly with the processors that fillers use
 * beside it, at a slope that differs widely by pair. Tasks of one step share their own load, so the
 * least disturbed of them shows what the tail would be without fillers.
 */
import {
  FULL_PERCENT,
  isFiller,
  isServing,
  type OwnedRun,
  type OwnedStep,
} from '../model/ownedJob.js';
import { PairSlopes, type FillerUse } from './pairSlopes.js';
import { SwingForecast } from './swingForecast.js';
import { SwingPeriods } from './swingPeriods.js';

/** Tail over target from which figures are saturated: they bound the loss from below only. */
const SATURATED = 5;

/** Time after its last reading up to which a step's undisturbed tail is forecast, in milliseconds. */
const LONGEST_FORECAST_MS = 4_000;

/** Time for which a run must have been in progress before its figures count, in milliseconds. */
const SETTLED_MS = 700;

/** Loss beside fillers at which a reading has half its trust, in inverse milliseconds. */
const TRUSTED_LOSS = 0.01;

/** How far ahead tails are predicted, in milliseconds: a look, an order, and until it shows. */
const AHEAD_MS = 700;

/** Moments of a filler's run that are predicted, in milliseconds from its start; most take two seconds. */
const AHEADS_MS: readonly number[] = [700, 1_700, 2_700];

/** Slopes by pair, and undisturbed tails by step. */
export class Interference {
  private readonly slopes = new Map<string, PairSlopes>();

  private readonly periods = new SwingPeriods();

  private readonly bases = new WeakMap<OwnedStep, SwingForecast>();

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
   * Predicts the longest undisturbed tail of a step while a filler would run.
   *
   * @param step - the step
   * @param nowMs - monotonic time in milliseconds
   * @returns the least inverse of the tail in milliseconds; undefined while nothing is known
   */
  lowestBase(step: OwnedStep, nowMs: number): number | undefined {
    const bases = AHEADS_MS.map((aheadMs) => this.baseOf(step, nowMs + aheadMs));
    const known = bases.filter((base) => base !== undefined);
    return known.length === 0 ? undefined : Math.min(...known);
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
    const known = this.bases.get(step) ?? new SwingForecast(this.periods, nowMs);
    this.bases.set(step, known);
    known.learn(1 / gauge + lost, TRUSTED_LOSS / (TRUSTED_LOSS + lost), nowMs);
  }

  private baseOf(step: OwnedStep, atMs: number): number | undefined {
    const base = this.bases.get(step);
    if (!base || atMs - base.lastMs > LONGEST_FORECAST_MS) return undefined;
    return Math.max(0, base.at(atMs));
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
