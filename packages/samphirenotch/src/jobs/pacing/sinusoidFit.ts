/**
 * A level with a sine of one period, fitted to readings by least squares with weights that fade.
 */

/** Time in which the weight of a reading fades to a third, as a share of the period. */
const DECAY_PERIODS = 0.6;

/** The same for a plain level, in milliseconds. */
const LEVEL_DECAY_MS = 500;

/** Weight of the assumption that nothing swings, in readings. */
const RIDGE_WEIGHT = 0.6;

/** Weight of a reading below what is expected, beside one above: disturbance only lowers them. */
const LOW_READING_WEIGHT = 0.6;

/** Least time that a reading stands for, in milliseconds: several tasks of a step are read at once. */
const MIN_READING_GAP_MS = 40;

/** Time in which a reading's part of the recent shift fades to a third, in milliseconds. */
const RESIDUAL_DECAY_MS = 700;

/** Share of the recent shift that is expected to last. */
const LASTING_RESIDUAL_FRACTION = 0.9;

/** One period's fit; numbers in fields, since it is updated with every reading. */
export class SinusoidFit {
  private readonly radiansPerMs: number;

  private readonly decayMs: number;

  // Weighted sums of products of 1, cosine and sine, and of these with readings.
  private weightSum = 0;

  private cosineSum = 0;

  private sineSum = 0;

  private cosineSquareSum = 0;

  private sineSquareSum = 0;

  private cosineSineSum = 0;

  private readingSum = 0;

  private cosineReadingSum = 0;

  private sineReadingSum = 0;

  // The solution.
  private level = 0;

  private cosine = 0;

  private sine = 0;

  /** Recent mean of what readings were above the fit. */
  private meanResidual = 0;

  // The solution at a former time, to be judged by later readings.
  private snapshotLevel = 0;

  private snapshotCosine = 0;

  private snapshotSine = 0;

  private hasSnapshot = false;

  /**
   * @param periodMs - the period in milliseconds; undefined for a plain level
   */
  constructor(periodMs: number | undefined) {
    this.radiansPerMs = periodMs === undefined ? 0 : (2 * Math.PI) / periodMs;
    this.decayMs = periodMs === undefined ? LEVEL_DECAY_MS : DECAY_PERIODS * periodMs;
  }

  /**
   * Tells the value of the fit.
   *
   * @param atMs - milliseconds since the first reading
   * @returns the value
   */
  valueAt(atMs: number): number {
    return this.evaluate(this.level, this.cosine, this.sine, atMs) + this.meanResidual;
  }

  /**
   * Tells by how much the former solution misses a reading.
   *
   * @param reading - the reading
   * @param atMs - its time, in milliseconds since the first reading
   * @returns the error as a share of the reading; undefined while there is no former solution
   */
  snapshotError(reading: number, atMs: number): number | undefined {
    if (!this.hasSnapshot) return undefined;
    const snapshotValue = this.evaluate(
      this.snapshotLevel,
      this.snapshotCosine,
      this.snapshotSine,
      atMs,
    );
    return (snapshotValue - reading) / reading;
  }

  /** Keeps the solution of now as the former one. */
  takeSnapshot(): void {
    this.snapshotLevel = this.level + this.meanResidual;
    this.snapshotCosine = this.cosine;
    this.snapshotSine = this.sine;
    this.hasSnapshot = true;
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
    const cosine = this.radiansPerMs === 0 ? 0 : Math.cos(this.radiansPerMs * atMs);
    const sine = this.radiansPerMs === 0 ? 0 : Math.sin(this.radiansPerMs * atMs);
    const expected = this.level + this.cosine * cosine + this.sine * sine;
    const weight = this.weightSum > 0 && reading < expected ? LOW_READING_WEIGHT * trust : trust;
    const decay = elapsedMs > 0 ? Math.exp(-elapsedMs / this.decayMs) : 1;
    this.weightSum = this.weightSum * decay + weight;
    this.cosineSum = this.cosineSum * decay + weight * cosine;
    this.sineSum = this.sineSum * decay + weight * sine;
    this.cosineSquareSum = this.cosineSquareSum * decay + weight * cosine * cosine;
    this.sineSquareSum = this.sineSquareSum * decay + weight * sine * sine;
    this.cosineSineSum = this.cosineSineSum * decay + weight * cosine * sine;
    this.readingSum = this.readingSum * decay + weight * reading;
    this.cosineReadingSum = this.cosineReadingSum * decay + weight * cosine * reading;
    this.sineReadingSum = this.sineReadingSum * decay + weight * sine * reading;
    this.solve();
    const residual = reading - (this.level + this.cosine * cosine + this.sine * sine);
    const gain =
      weight * (1 - Math.exp(-Math.max(elapsedMs, MIN_READING_GAP_MS) / RESIDUAL_DECAY_MS));
    this.meanResidual += gain * (LASTING_RESIDUAL_FRACTION * residual - this.meanResidual);
  }

  private evaluate(level: number, cosine: number, sine: number, atMs: number): number {
    if (this.radiansPerMs === 0) return level;
    return (
      level +
      cosine * Math.cos(this.radiansPerMs * atMs) +
      sine * Math.sin(this.radiansPerMs * atMs)
    );
  }

  /** Solves for the level, and with a ridge for what swings. */
  private solve(): void {
    if (this.weightSum <= 0) return;
    if (this.radiansPerMs !== 0) {
      const meanCosine = this.cosineSum / this.weightSum;
      const meanSine = this.sineSum / this.weightSum;
      const cosineVariance = this.cosineSquareSum - this.cosineSum * meanCosine + RIDGE_WEIGHT;
      const sineVariance = this.sineSquareSum - this.sineSum * meanSine + RIDGE_WEIGHT;
      const covariance = this.cosineSineSum - this.cosineSum * meanSine;
      const cosineWith = this.cosineReadingSum - meanCosine * this.readingSum;
      const sineWith = this.sineReadingSum - meanSine * this.readingSum;
      const determinant = cosineVariance * sineVariance - covariance * covariance;
      this.cosine = (cosineWith * sineVariance - sineWith * covariance) / determinant;
      this.sine = (sineWith * cosineVariance - cosineWith * covariance) / determinant;
    }
    this.level =
      (this.readingSum - this.cosine * this.cosineSum - this.sine * this.sineSum) / this.weightSum;
  }
}
