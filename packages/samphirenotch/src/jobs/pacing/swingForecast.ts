/**
 * Forecasts a quantity that swings, such as the load of a serving task.
 *
 * Answers the pattern of loads that rise and fall within seconds, which figures of the last half
 * second follow too late: a level with a sine of one of several periods is fitted to recent readings.
 * Which period fits is found over all series of a site together, by how well each would have forecast
 * the readings that came; a plain level competes with them, for quantities that do not swing.
 */
import { SwingFit } from './swingFit.js';
import { PERIODS, type SwingPeriods } from './swingPeriods.js';

/** Horizon at which the periods compete, in milliseconds: a look, an order, and until it shows. */
const COMPETING_MS = 700;

/** One series. */
export class SwingForecast {
  private readonly fits = [...PERIODS, undefined].map((periodMs) => new SwingFit(periodMs));

  private readonly startMs: number;

  private readMs: number;

  private keptMs: number;

  /**
   * @param periods - shared by all series of the site
   * @param nowMs - monotonic time of the first reading, in milliseconds
   */
  constructor(
    private readonly periods: SwingPeriods,
    nowMs: number,
  ) {
    this.startMs = nowMs;
    this.readMs = nowMs;
    this.keptMs = nowMs;
  }

  /** @returns monotonic time of the last reading, in milliseconds */
  get lastMs(): number {
    return this.readMs;
  }

  /**
   * Forecasts the quantity.
   *
   * @param atMs - monotonic time in milliseconds
   * @returns the forecast; 0 before the first reading
   */
  at(atMs: number): number {
    return this.fits[this.periods.chosen]?.at(atMs - this.startMs) ?? 0;
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
    const elapsedMs = nowMs - this.readMs;
    const keeps = nowMs - this.keptMs >= COMPETING_MS;
    this.fits.forEach((fit, index) => {
      const error = fit.formerError(reading, atMs);
      if (error !== undefined) this.periods.note(index, error * error * trust);
      if (keeps) fit.keepFormer();
      fit.learn(reading, trust, atMs, elapsedMs);
    });
    if (keeps) this.keptMs = nowMs;
    this.readMs = nowMs;
    this.periods.choose();
  }
}
