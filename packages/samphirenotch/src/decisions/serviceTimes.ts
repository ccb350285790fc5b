/**
 * Learns how long requests of a class hold a slot.
 */

const LEARNING_SHARE = 0.05;
const DEVIATIONS_ALLOWED = 4;

interface ServiceRecord {
  meanMs: number;
  deviationMs: number;
  observations: number;
}

/** Service times by class. */
export class ServiceTimes {
  private readonly assumedMs: number;

  private readonly records = new Map<string, ServiceRecord>();

  /**
   * @param assumedMs - service time of a class that has not been seen, in milliseconds
   */
  constructor(assumedMs: number) {
    this.assumedMs = assumedMs;
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
    const share = Math.max(LEARNING_SHARE, 1 / record.observations);
    const error = serviceMs - record.meanMs;
    record.meanMs += share * error;
    record.deviationMs += share * (Math.abs(error) - record.deviationMs);
  }

  /**
   * Estimates the service time.
   *
   * @param taskClass - the class
   * @returns its mean, in milliseconds
   */
  meanMs(taskClass: string): number {
    return this.records.get(taskClass)?.meanMs ?? this.assumedMs;
  }

  /**
   * Estimates a time within which most requests are served.
   *
   * @param taskClass - the class
   * @returns mean and some deviations together, in milliseconds
   */
  cautiousMs(taskClass: string): number {
    const record = this.records.get(taskClass);
    if (!record) return this.assumedMs;
    return record.meanMs + DEVIATIONS_ALLOWED * record.deviationMs;
  }
}
