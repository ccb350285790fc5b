/**
 * Forecasts a periodic quantity, such as the load of a serving task.
 *
 * Loads rise and fall within seconds, and measurements of the last half second follow them too
 * late. Therefore a level plus a sine is fitted to recent readings for each of several periods. The
 * period is selected for all series of a site together: the one whose earlier forecasts came
 * closest to the later readings. A plain level is a further candidate, for quantities that are not
 * periodic.
 */
import { SinusoidFit } from './sinusoidFit.js';
import { CANDIDATE_PERIODS_MS, type PeriodSelection } from './periodSelection.js';

/**
 * Age of the forecasts by which the periods are compared, in milliseconds: time to poll a worker,
 * send it an order and see the effect.
 */
const COMPARISON_HORIZON_MS = 700;

/** Forecast of one series of readings. */
export class PeriodicForecast {
  private readonly fits = [...CANDIDATE_PERIODS_MS, undefined].map(
    (periodMs) => new SinusoidFit(periodMs),
  );

  private readonly startMs: number;

  private lastReadMs: number;

  private snapshotMs: number;

  /**
   * @param periodSelection - selection of the period, shared by all series of the site
   * @param nowMs - monotonic time of the first reading, in milliseconds
   */
  constructor(
    private readonly periodSelection: PeriodSelection,
    nowMs: number,
  ) {
    this.startMs = nowMs;
    this.lastReadMs = nowMs;
    this.snapshotMs = nowMs;
  }

  /** @returns monotonic time of the last reading, in milliseconds */
  get lastReadingMs(): number {
    return this.lastReadMs;
  }

  /**
   * Forecasts the quantity.
   *
   * @param atMs - monotonic time in milliseconds
   * @returns the forecast; 0 before the first reading
   */
  forecastAt(atMs: number): number {
    return this.fits[this.periodSelection.chosenIndex]?.valueAt(atMs - this.startMs) ?? 0;
  }

  /**
   * Updates the forecast with a reading.
   *
   * @param reading - the quantity, above 0
   * @param trust - weight of the reading, from 0 to 1
   * @param nowMs - monotonic time in milliseconds
   */
  learn(reading: number, trust: number, nowMs: number): void {
    const atMs = nowMs - this.startMs;
    const elapsedMs = nowMs - this.lastReadMs;
    const isSnapshotDue = nowMs - this.snapshotMs >= COMPARISON_HORIZON_MS;
    this.fits.forEach((fit, index) => {
      const error = fit.snapshotError(reading, atMs);
      if (error !== undefined) this.periodSelection.recordError(index, error * error * trust);
      if (isSnapshotDue) fit.takeSnapshot();
      fit.learn(reading, trust, atMs, elapsedMs);
    });
    if (isSnapshotDue) this.snapshotMs = nowMs;
    this.lastReadMs = nowMs;
    this.periodSelection.updateChoice();
  }
}
