/**
 * Selects the period that the series of a site have in common.
 */

/** Candidate periods, in milliseconds: each is a seventh longer than the one before. */
export const CANDIDATE_PERIODS_MS: readonly number[] = Array.from(
  { length: 16 },
  (_each, index) => 4_000 * 1.142 ** index,
);

/** Weight of a new error in the moving average: about the last 300 readings count. */
const ERROR_GAIN = 0.003;

/** Tracks the mean squared forecast error of each candidate over all series of a site. */
export class PeriodSelection {
  /** Moving average by candidate; the last candidate is the plain level without a period. */
  private readonly meanSquaredErrors = [...CANDIDATE_PERIODS_MS, undefined].map(() => 1);

  private bestIndex = CANDIDATE_PERIODS_MS.length;

  /** @returns index of the selected period; `CANDIDATE_PERIODS_MS.length` for the plain level */
  get chosenIndex(): number {
    return this.bestIndex;
  }

  /** @returns the selected period in milliseconds; undefined for the plain level */
  get periodMs(): number | undefined {
    return CANDIDATE_PERIODS_MS[this.bestIndex];
  }

  /**
   * Records the error of a candidate's forecast.
   *
   * @param index - index of the candidate
   * @param squaredError - square of the error relative to the reading
   */
  recordError(index: number, squaredError: number): void {
    const previous = this.meanSquaredErrors[index] ?? 1;
    this.meanSquaredErrors[index] = previous + ERROR_GAIN * (Math.min(1, squaredError) - previous);
  }

  /** Selects the candidate with the lowest error. */
  updateChoice(): void {
    for (let index = 0; index < this.meanSquaredErrors.length; index += 1) {
      if ((this.meanSquaredErrors[index] ?? 1) < (this.meanSquaredErrors[this.bestIndex] ?? 1))
        this.bestIndex = index;
    }
  }
}
