/**
 * Gathers latencies of requests into measurements of how much neighbours slow them.
 */

/** Settings of sampling. */
export interface SlowdownSamplerSettings {
  /** Requests that make one measurement. */
  readonly requestsPerMeasurement: number;
}

interface Sample {
  readonly neighbours: readonly string[];
  sum: number;
  count: number;
}

const sameClasses = (left: readonly string[], right: readonly string[]): boolean =>
  left.length === right.length && left.every((each, index) => each === right[index]);

/** Samples of one class at one worker, while its neighbours stay the same. */
export class SlowdownSampler {
  private readonly settings: SlowdownSamplerSettings;

  private sample: Sample = { neighbours: [], sum: 0, count: 0 };

  /**
   * @param settings - how many requests are gathered
   */
  constructor(settings: SlowdownSamplerSettings) {
    this.settings = settings;
  }

  /**
   * Adds a request.
   *
   * @param slowdown - its latency relative to the usual one without neighbours
   * @param neighbours - classes that ran beside it
   * @returns the mean slowdown once enough requests are gathered
   */
  add(slowdown: number, neighbours: readonly string[]): number | undefined {
    if (!sameClasses(this.sample.neighbours, neighbours)) {
      this.sample = { neighbours, sum: 0, count: 0 };
    }
    this.sample.sum += slowdown;
    this.sample.count += 1;
    if (this.sample.count < this.settings.requestsPerMeasurement) return undefined;
    const mean = this.sample.sum / this.sample.count;
    this.sample = { neighbours, sum: 0, count: 0 };
    return mean;
  }
}
