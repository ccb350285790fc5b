/**
 * Learns how much fillers slow down serving tasks, by pair of images.
 *
 * The inverse of a serving task's tail latency decreases about linearly with the processors that
 * fillers use on the same worker; the slope differs widely by pair. All tasks of a step have the
 * same load, so the least disturbed of them show the step's baseline: the inverse tail without
 * fillers.
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

/** Ratio of tail to target from which measurements saturate: the actual loss may be higher. */
const SATURATED_TAIL_RATIO = 5;

/** Longest time after the last reading for which a step's baseline is forecast, in milliseconds. */
const MAX_FORECAST_HORIZON_MS = 4_000;

/** Age of a run from which its measurements are used, in milliseconds. */
const MIN_RUN_AGE_MS = 700;

/** Predicted loss to fillers at which a reading has half its weight, in inverse milliseconds. */
const HALF_TRUST_LOSS = 0.01;

/**
 * How far ahead tails are predicted, in milliseconds: time to poll a worker, send it an order and
 * see the effect.
 */
const PREDICTION_HORIZON_MS = 700;

/**
 * Times during a filler's run for which baselines are predicted, in milliseconds from its start;
 * most runs take 2 s.
 */
const FILLER_RUN_HORIZONS_MS: readonly number[] = [700, 1_700, 2_700];

/** Holds the learned slope of each pair of images and the baseline forecast of each step. */
export class Interference {
  private readonly slopes = new Map<string, PairSlopes>();

  private readonly periodSelection = new PeriodSelection();

  private readonly baselineForecasts = new WeakMap<OwnedStep, PeriodicForecast>();

  /**
   * Predicts the inverse tail latency of a serving task.
   *
   * @param run - the serving task's run
   * @param usages - processor usage of the fillers on its worker
   * @param nowMs - monotonic time in milliseconds
   * @returns inverse tail in 1/ms; undefined without a recent reading of the step
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
   * Predicts the lowest baseline (longest tail without fillers) of a step while a filler would run.
   *
   * @param step - the step
   * @param nowMs - monotonic time in milliseconds
   * @returns lowest inverse tail in 1/ms; undefined without a recent reading of the step
   */
  lowestBaseline(step: OwnedStep, nowMs: number): number | undefined {
    const baselines = FILLER_RUN_HORIZONS_MS.map((horizonMs) =>
      this.baselineAt(step, nowMs + horizonMs),
    );
    const known = baselines.filter((baseline) => baseline !== undefined);
    return known.length === 0 ? undefined : Math.min(...known);
  }

  /**
   * Predicts by how much fillers reduce the inverse tail of a serving image.
   *
   * @param serving - image of the serving task
   * @param usages - processor usage of the fillers on its worker
   * @returns loss in inverse milliseconds
   */
  predictLoss(serving: string, usages: readonly FillerUsage[]): number {
    return this.slopesOf(serving).predictLoss(usages);
  }

  /**
   * Returns the slope of a pair of images.
   *
   * @param serving - image of the serving task
   * @param filler - image of the filler
   * @returns loss in inverse milliseconds if the filler used the whole worker
   */
  slope(serving: string, filler: string): number {
    return this.slopesOf(serving).slope(filler);
  }

  /**
   * Learns from the measurements of one poll of a worker.
   *
   * @param runs - all runs in progress on the worker
   * @param milliCores - the worker's processors, in thousandths of a core
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

  /**
   * Updates the baseline of a step. The predicted loss to fillers is added back to the reading, and
   * the larger it is, the lower the weight of the reading.
   */
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
