/**
 * Learns how long requests of a class hold a slot.
 */

const MINIMUM_LEARNING_RATE = 0.05;
const MARGIN_DEVIATIONS = 4;

interface ServiceRecord {
  meanMs: number;
  deviationMs: number;
  observations: number;
}

/** Service times by class. */
export class ServiceTimes {
  private readonly defaultMs: number;

  private readonly records = new Map<string, ServiceRecord>();

  /**
   * @param defaultMs - service time of a class that has not been seen, in milliseconds
   */
  constructor(defaultMs: number) {
    this.defaultMs = defaultMs;
  }

  /**
   * Learns from one request.
   *
   * @param taskClass - its class
   * @param serviceMs - how long it held a slot, in milliseconds
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
   * Estimates the service time.
   *
   * @param taskClass - the class
   * @returns its mean, in milliseconds
   */
  meanMs(taskClass: string): number {
    return this.records.get(taskClass)?.meanMs ?? this.defaultMs;
  }

  /**
   * Estimates a time within which most requests are served.
   *
   * @param taskClass - the class
   * @returns mean and some deviations together, in milliseconds
   */
  conservativeMs(taskClass: string): number {
    const record = this.records.get(taskClass);
    if (!record) return this.defaultMs;
    return record.meanMs + MARGIN_DEVIATIONS * record.deviationMs;
  }
}
