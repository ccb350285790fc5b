/**
 * A level with a sine of one period, fitted to readings by least squares with weights that fade.
 */

/** Time in which the weight of a reading fades to a third, as a share of the period. */
const FADE_SHARE = 0.6;

/** The same for a plain level, in milliseconds. */
const LEVEL_FADE_MS = 500;

/** Weight of the assumption that nothing swings, in readings. */
const RIDGE = 0.6;

/** Weight of a reading below what is expected, beside one above: disturbance only lowers them. */
const LOW_WEIGHT = 0.6;

/** Least time that a reading stands for, in milliseconds: several tasks of a step are read at once. */
const LEAST_GAP_MS = 40;

/** Time in which a reading's part of the recent shift fades to a third, in milliseconds. */
const SHIFT_FADE_MS = 700;

/** Share of the recent shift that is expected to last. */
const SHIFT_SHARE = 0.9;

/** One period's fit; numbers in fields, since it is updated with every reading. */
export class SwingFit {
  private readonly omega: number;

  private readonly fadeMs: number;

  // Weighted sums of products of 1, cosine and sine, and of these with readings.
  private ones = 0;

  private cosines = 0;

  private sines = 0;

  private cosineSquares = 0;

  private sineSquares = 0;

  private mixed = 0;

  private readings = 0;

  private cosineReadings = 0;

  private sineReadings = 0;

  // The solution.
  private level = 0;

  private cosine = 0;

  private sine = 0;

  /** Recent mean of what readings were above the fit. */
  private shift = 0;

  // The solution at a former time, to be judged by later readings.
  private formerLevel = 0;

  private formerCosine = 0;

  private formerSine = 0;

  private hasFormer = false;

  /**
   * @param periodMs - the period in milliseconds; undefined for a plain level
   */
  constructor(periodMs: number | undefined) {
    this.omega = periodMs === undefined ? 0 : (2 * Math.PI) / periodMs;
    this.fadeMs = periodMs === undefined ? LEVEL_FADE_MS : FADE_SHARE * periodMs;
  }

  /**
   * Tells the value of the fit.
   *
   * @param atMs - milliseconds since the first reading
   * @returns the value
   */
  at(atMs: number): number {
    return this.valueOf(this.level, this.cosine, this.sine, atMs) + this.shift;
  }

  /**
   * Tells by how much the former solution misses a reading.
   *
   * @param reading - the reading
   * @param atMs - its time, in milliseconds since the first reading
   * @returns the error as a share of the reading; undefined while there is no former solution
   */
  formerError(reading: number, atMs: number): number | undefined {
    if (!this.hasFormer) return undefined;
    const former = this.valueOf(this.formerLevel, this.formerCosine, this.formerSine, atMs);
    return (former - reading) / reading;
  }

  /** Keeps the solution of now as the former one. */
  keepFormer(): void {
    this.formerLevel = this.level + this.shift;
    this.formerCosine = this.cosine;
    this.formerSine = this.sine;
    this.hasFormer = true;
  }

  /**
   * Learns from a reading.
   *
   * @param reading - the reading
   * @param trust - its weight, from 0 to 1
   * @param atMs - its time, in milliseconds since the first reading
   * @param elapsedMs - time since the reading before, in milliseconds
   */
  learn(reading: number, trust: number, atMs: number, elapsedMs: number): void {
    const cosine = this.omega === 0 ? 0 : Math.cos(this.omega * atMs);
    const sine = this.omega === 0 ? 0 : Math.sin(this.omega * atMs);
    const expected = this.level + this.cosine * cosine + this.sine * sine;
    const weight = this.ones > 0 && reading < expected ? LOW_WEIGHT * trust : trust;
    const kept = elapsedMs > 0 ? Math.exp(-elapsedMs / this.fadeMs) : 1;
    this.ones = this.ones * kept + weight;
    this.cosines = this.cosines * kept + weight * cosine;
    this.sines = this.sines * kept + weight * sine;
    this.cosineSquares = this.cosineSquares * kept + weight * cosine * cosine;
    this.sineSquares = this.sineSquares * kept + weight * sine * sine;
    this.mixed = this.mixed * kept + weight * cosine * sine;
    this.readings = this.readings * kept + weight * reading;
    this.cosineReadings = this.cosineReadings * kept + weight * cosine * reading;
    this.sineReadings = this.sineReadings * kept + weight * sine * reading;
    this.solve();
    const rest = reading - (this.level + this.cosine * cosine + this.sine * sine);
    const gain = weight * (1 - Math.exp(-Math.max(elapsedMs, LEAST_GAP_MS) / SHIFT_FADE_MS));
    this.shift += gain * (SHIFT_SHARE * rest - this.shift);
  }

  private valueOf(level: number, cosine: number, sine: number, atMs: number): number {
    if (this.omega === 0) return level;
    return level + cosine * Math.cos(this.omega * atMs) + sine * Math.sin(this.omega * atMs);
  }

  /** Solves for the level, and with a ridge for what swings. */
  private solve(): void {
    if (this.ones <= 0) return;
    if (this.omega !== 0) {
      const meanCosine = this.cosines / this.ones;
      const meanSine = this.sines / this.ones;
      const cosineVariance = this.cosineSquares - this.cosines * meanCosine + RIDGE;
      const sineVariance = this.sineSquares - this.sines * meanSine + RIDGE;
      const covariance = this.mixed - this.cosines * meanSine;
      const cosineWith = this.cosineReadings - meanCosine * this.readings;
      const sineWith = this.sineReadings - meanSine * this.readings;
      const determinant = cosineVariance * sineVariance - covariance * covariance;
      this.cosine = (cosineWith * sineVariance - sineWith * covariance) / determinant;
      this.sine = (sineWith * cosineVariance - cosineWith * covariance) / determinant;
    }
    this.level = (this.readings - this.cosine * this.cosines - this.sine * this.sines) / this.ones;
  }
}
