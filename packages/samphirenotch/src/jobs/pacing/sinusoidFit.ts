/**
 * A level plus a sine of a fixed period, fitted to readings by least squares with exponentially
 * decaying weights.
 */

/** Time in which the weight of a reading decreases to a third, as a fraction of the period. */
const DECAY_PERIODS = 0.6;

/** Time in which the weight of a reading decreases to a third in a plain level, in milliseconds. */
const LEVEL_DECAY_MS = 500;

/** Ridge penalty that pulls the amplitude towards zero, as a number of readings. */
const RIDGE_WEIGHT = 0.6;

/**
 * Weight of a reading below the fit relative to one above it: interference only lowers readings, so
 * those above are more reliable.
 */
const LOW_READING_WEIGHT = 0.6;

/**
 * Minimum for the time since the previous reading, in milliseconds: several tasks of a step are
 * read at once.
 */
const MIN_READING_GAP_MS = 40;

/** Time in which the weight of a reading in the mean residual decreases to a third, in ms. */
const RESIDUAL_DECAY_MS = 700;

/** Fraction of the residuals that is expected to last. */
const LASTING_RESIDUAL_FRACTION = 0.9;

/**
 * The fit for one period. The sums are separate fields rather than matrices, because they are
 * updated with every reading.
 */
export class SinusoidFit {
  private readonly radiansPerMs: number;

  private readonly decayMs: number;

  // Weighted sums: of 1, cosine, sine and their products, and of the readings times each of these.
  private weightSum = 0;

  private cosineSum = 0;

  private sineSum = 0;

  private cosineSquareSum = 0;

  private sineSquareSum = 0;

  private cosineSineSum = 0;

  private readingSum = 0;

  private cosineReadingSum = 0;

  private sineReadingSum = 0;

  // The current solution of the least squares problem.
  private level = 0;

  private cosine = 0;

  private sine = 0;

  /** Recent mean of the readings minus the fit; below zero if the readings are lower. */
  private meanResidual = 0;

  // An earlier solution, kept to measure how well it predicts later readings.
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
   * Evaluates the fit, with the recent mean residual added.
   *
   * @param atMs - time in milliseconds since the first reading
   * @returns the fitted value
   */
  valueAt(atMs: number): number {
    return this.evaluate(this.level, this.cosine, this.sine, atMs) + this.meanResidual;
  }

  /**
   * Computes the error of the snapshot's prediction of a reading.
   *
   * @param reading - the reading
   * @param atMs - its time, in milliseconds since the first reading
   * @returns prediction minus reading, as a fraction of the reading; undefined without a snapshot
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

  /** Keeps the current solution as the snapshot. */
  takeSnapshot(): void {
    this.snapshotLevel = this.level + this.meanResidual;
    this.snapshotCosine = this.cosine;
    this.snapshotSine = this.sine;
    this.hasSnapshot = true;
  }

  /**
   * Updates the fit with a reading.
   *
   * @param reading - the reading
   * @param trust - its weight, from 0 to 1
   * @param atMs - its time, in milliseconds since the first reading
   * @param elapsedMs - time since the previous reading, in milliseconds
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

  /** Solves for the level, and for cosine and sine with the ridge penalty. */
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
