/**
 * Which period the series of a site swing with.
 */

/** Periods that are tried, in milliseconds: neighbours differ by a seventh. */
export const PERIODS: readonly number[] = Array.from(
  { length: 16 },
  (_each, index) => 4_000 * 1.142 ** index,
);

/** Part of a period's mean error that each later error replaces: about the last 300 readings count. */
const ERROR_GAIN = 0.003;

/** Mean squared errors of the periods, over all series of a site. */
export class SwingPeriods {
  /** The last one is the plain level. */
  private readonly errors = [...PERIODS, undefined].map(() => 1);

  private best = PERIODS.length;

  /** @returns the index of the period that forecasts best; beyond the periods for the plain level */
  get chosen(): number {
    return this.best;
  }

  /** @returns the period that forecasts best, in milliseconds; undefined for none */
  get periodMs(): number | undefined {
    return PERIODS[this.best];
  }

  /**
   * Takes note of an error.
   *
   * @param index - the period
   * @param squared - squared error, as a share of the reading's square
   */
  note(index: number, squared: number): void {
    const before = this.errors[index] ?? 1;
    this.errors[index] = before + ERROR_GAIN * (Math.min(1, squared) - before);
  }

  /** Chooses anew. */
  choose(): void {
    for (let index = 0; index < this.errors.length; index += 1) {
      if ((this.errors[index] ?? 1) < (this.errors[this.best] ?? 1)) this.best = index;
    }
  }
}
