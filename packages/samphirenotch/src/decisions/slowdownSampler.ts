/**
 * Averages the latencies of several requests into one measurement of how much neighbours slow them.
 */

/** Settings of a slowdown sampler. */
export interface SlowdownSamplerSettings {
  /** Number of requests that are averaged into one measurement. */
  readonly requestsPerMeasurement: number;
}

/** Requests of the measurement in progress. */
interface Sample {
  readonly neighbours: readonly string[];
  sum: number;
  count: number;
}

const sameClasses = (left: readonly string[], right: readonly string[]): boolean =>
  left.length === right.length && left.every((each, index) => each === right[index]);

/** Samples requests of one class on one worker; starts again whenever the neighbours change. */
export class SlowdownSampler {
  private readonly settings: SlowdownSamplerSettings;

  private sample: Sample = { neighbours: [], sum: 0, count: 0 };

  /**
   * @param settings - number of requests per measurement
   */
  constructor(settings: SlowdownSamplerSettings) {
    this.settings = settings;
  }

  /**
   * Adds a request.
   *
   * @param slowdown - latency divided by the usual latency without neighbours
   * @param neighbours - classes that ran on the same worker
   * @returns the mean slowdown if this request completes a measurement, otherwise `undefined`
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
