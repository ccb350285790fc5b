/**
 * Which period the series of a site swing with.
 */

/** Periods that are tried, in milliseconds: neighbours differ by a seventh. */
export const CANDIDATE_PERIODS_MS: readonly number[] = Array.from(
  { length: 16 },
  (_each, index) => 4_000 * 1.142 ** index,
);

/** Part of a period's mean error that each later error replaces: about the last 300 readings count. */
const ERROR_GAIN = 0.003;

/** Mean squared errors of the periods, over all series of a site. */
export class PeriodSelection {
  /** The last one is the plain level. */
  private readonly meanSquaredErrors = [...CANDIDATE_PERIODS_MS, undefined].map(() => 1);

  private bestIndex = CANDIDATE_PERIODS_MS.length;

  /** @returns the index of the period that forecasts best; beyond the periods for the plain level */
  get chosenIndex(): number {
    return this.bestIndex;
  }

  /** @returns the period that forecasts best, in milliseconds; undefined for none */
  get periodMs(): number | undefined {
    return CANDIDATE_PERIODS_MS[this.bestIndex];
  }

  /**
   * Takes note of an error.
   *
   * @param index - the period
   * @param squaredError - squared error, as a share of the reading's square
   */
  recordError(index: number, squaredError: number): void {
    const previous = this.meanSquaredErrors[index] ?? 1;
    this.meanSquaredErrors[index] = previous + ERROR_GAIN * (Math.min(1, squaredError) - previous);
  }

  /** Chooses anew. */
  updateChoice(): void {
    for (let index = 0; index < this.meanSquaredErrors.length; index += 1) {
      if ((this.meanSquaredErrors[index] ?? 1) < (this.meanSquaredErrors[this.bestIndex] ?? 1))
        this.bestIndex = index;
    }
  }
}
