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
  hasLatencyTarget,
  type OwnedRun,
  type OwnedStep,
} from '../model/ownedJob.js';
import { PairSlopes, type FillerUsage } from './pairSlopes.js';
import { PeriodicForecast } from './periodicForecast.js';
import { PeriodSelection } from './periodSelection.js';

/** Tail over target from which figures are saturated: they bound the loss from below only. */
const SATURATED_TAIL_RATIO = 5;

/** Time after its last reading up to which a step's undisturbed tail is forecast, in milliseconds. */
const MAX_FORECAST_HORIZON_MS = 4_000;

/** Time for which a run must have been in progress before its figures count, in milliseconds. */
const MIN_RUN_AGE_MS = 700;

/** Loss beside fillers at which a reading has half its trust, in inverse milliseconds. */
const HALF_TRUST_LOSS = 0.01;

/** How far ahead tails are predicted, in milliseconds: a look, an order, and until it shows. */
const PREDICTION_HORIZON_MS = 700;

/** Moments of a filler's run that are predicted, in milliseconds from its start; most take two seconds. */
const FILLER_RUN_HORIZONS_MS: readonly number[] = [700, 1_700, 2_700];

/** Slopes by pair, and undisturbed tails by step. */
export class Interference {
  private readonly slopes = new Map<string, PairSlopes>();

  private readonly periodSelection = new PeriodSelection();

  private readonly baselineForecasts = new WeakMap<OwnedStep, PeriodicForecast>();

  /**
   * Predicts the tail of a serving task.
   *
   * @param run - the serving task's run
   * @param usages - fillers beside it
   * @param nowMs - monotonic time in milliseconds
   * @returns the inverse of the tail in milliseconds; undefined while nothing is known of the step
   */
  predictInverseTail(
    run: OwnedRun,
    usages: readonly FillerUsage[],
    nowMs: number,
  ): number | undefined {
    const baseline = this.baselineAt(run.task.step, nowMs + PREDICTION_HORIZON_MS);
    if (baseline === undefined) return undefined;
    return baseline - this.predictLoss(run.task.step.spec.image, usages);
  }

  /**
   * Predicts the longest undisturbed tail of a step while a filler would run.
   *
   * @param step - the step
   * @param nowMs - monotonic time in milliseconds
   * @returns the least inverse of the tail in milliseconds; undefined while nothing is known
   */
  lowestBaseline(step: OwnedStep, nowMs: number): number | undefined {
    const baselines = FILLER_RUN_HORIZONS_MS.map((horizonMs) =>
      this.baselineAt(step, nowMs + horizonMs),
    );
    const known = baselines.filter((baseline) => baseline !== undefined);
    return known.length === 0 ? undefined : Math.min(...known);
  }

  /**
   * Tells what fillers cost a serving image.
   *
   * @param serving - the image
   * @param usages - fillers beside it
   * @returns inverse milliseconds
   */
  predictLoss(serving: string, usages: readonly FillerUsage[]): number {
    return this.slopesOf(serving).predictLoss(usages);
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
      confirmedMs !== undefined && nowMs - confirmedMs >= MIN_RUN_AGE_MS;
    const fillers = runs.filter(isFiller);
    const serving = runs.filter(
      (run) => hasLatencyTarget(run) && run.gauge > 0 && run.percent === FULL_PERCENT,
    );
    const usages = fillers.map(({ task, gauge }) => ({
      image: task.step.spec.image,
      workerFraction: gauge / milliCores,
    }));
    serving.filter(settled).forEach((run) => {
      const predictedLoss = this.predictLoss(run.task.step.spec.image, usages);
      if (fillers.length > 0) this.learnSlopes(run, usages, nowMs);
      this.updateBaseline(run, predictedLoss, nowMs);
    });
  }

  /** Follows a step's undisturbed tail; what is known to be lost is added back, and trusted less. */
  private updateBaseline({ task, gauge }: OwnedRun, fillerLoss: number, nowMs: number): void {
    const { step } = task;
    const forecast =
      this.baselineForecasts.get(step) ?? new PeriodicForecast(this.periodSelection, nowMs);
    this.baselineForecasts.set(step, forecast);
    forecast.learn(1 / gauge + fillerLoss, HALF_TRUST_LOSS / (HALF_TRUST_LOSS + fillerLoss), nowMs);
  }

  private baselineAt(step: OwnedStep, atMs: number): number | undefined {
    const baseline = this.baselineForecasts.get(step);
    if (!baseline || atMs - baseline.lastReadingMs > MAX_FORECAST_HORIZON_MS) return undefined;
    return Math.max(0, baseline.forecastAt(atMs));
  }

  private learnSlopes(run: OwnedRun, usages: readonly FillerUsage[], nowMs: number): void {
    const { image, targetMs } = run.task.step.spec;
    const baseline = this.baselineAt(run.task.step, nowMs);
    if (baseline === undefined) return;
    const observedLoss = baseline - 1 / run.gauge;
    const slopes = this.slopesOf(image);
    if (run.gauge > SATURATED_TAIL_RATIO * targetMs && slopes.predictLoss(usages) > observedLoss)
      return;
    slopes.learn(usages, observedLoss);
  }

  private slopesOf(serving: string): PairSlopes {
    const known = this.slopes.get(serving);
    if (known) return known;
    const slopes = new PairSlopes();
    this.slopes.set(serving, slopes);
    return slopes;
  }
}
