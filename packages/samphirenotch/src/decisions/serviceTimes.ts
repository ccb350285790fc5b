/**
 * Estimates how long requests of each class hold a slot (service time).
 */

/** Minimum weight of a new observation, so that the estimate follows changes. */
const MINIMUM_LEARNING_RATE = 0.05;
/** Mean absolute deviations above the mean within which most requests are served. */
const MARGIN_DEVIATIONS = 4;

interface ServiceRecord {
  meanMs: number;
  /** Mean absolute deviation. */
  deviationMs: number;
  observations: number;
}

/** Estimated service times by class. */
export class ServiceTimes {
  private readonly defaultMs: number;

  private readonly records = new Map<string, ServiceRecord>();

  /**
   * @param defaultMs - service time assumed for a class without measurements, in milliseconds
   */
  constructor(defaultMs: number) {
    this.defaultMs = defaultMs;
  }

  /**
   * Records the service time of one request.
   *
   * @param taskClass - class of the request
   * @param serviceMs - service time, in milliseconds
   */
  observe(taskClass: string, serviceMs: number): void {
    const record = this.records.get(taskClass);
    if (!record) {
      this.records.set(taskClass, { meanMs: serviceMs, deviationMs: 0, observations: 1 });
      return;
    }
    record.observations += 1;
    const learningRate = Math.max(MINIMUM_LEARNING_RATE, 1 / record.observations);
    const error = serviceMs - record.meanMs;
    record.meanMs += learningRate * error;
    record.deviationMs += learningRate * (Math.abs(error) - record.deviationMs);
  }

  /**
   * Returns the mean service time of a class.
   *
   * @param taskClass - class of the request
   * @returns mean, in milliseconds
   */
  meanMs(taskClass: string): number {
    return this.records.get(taskClass)?.meanMs ?? this.defaultMs;
  }

  /**
   * Returns a service time that most requests of a class do not exceed.
   *
   * @param taskClass - class of the request
   * @returns mean plus a margin of several mean absolute deviations, in milliseconds
   */
  conservativeMs(taskClass: string): number {
    const record = this.records.get(taskClass);
    if (!record) return this.defaultMs;
    return record.meanMs + MARGIN_DEVIATIONS * record.deviationMs;
  }
}
