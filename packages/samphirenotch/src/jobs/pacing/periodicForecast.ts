/**
 * Forecasts a quantity that swings, such as the load of a serving task.
 *
 * Answers the pattern of loads that rise and fall within seconds, which figures of the last half
 * second follow too late: a level with a sine of one of several periods is fitted to recent readings.
 * Which period fits is found over all series of a site together, by how well each would have forecast
 * the readings that came; a plain level competes with them, for quantities that do not swing.
 */
import { SinusoidFit } from './sinusoidFit.js';
import { CANDIDATE_PERIODS_MS, type PeriodSelection } from './periodSelection.js';

/** Horizon at which the periods compete, in milliseconds: a look, an order, and until it shows. */
const COMPARISON_HORIZON_MS = 700;

/** One series. */
export class PeriodicForecast {
  private readonly fits = [...CANDIDATE_PERIODS_MS, undefined].map(
    (periodMs) => new SinusoidFit(periodMs),
  );

  private readonly startMs: number;

  private lastReadMs: number;

  private snapshotMs: number;

  /**
   * @param periodSelection - shared by all series of the site
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
   * Learns from a reading.
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
