/**
 * Bounds the monotonic clock of a worker from below by the readings in its answers.
 */
import type { Clock } from '../../time/clock.js';

/** Slowest rate of a worker's clock, relative to the clock of this process. */
export const MIN_CLOCK_RATE = 0.98;

/** A lower bound of a worker's clock, from its last reading. */
export class WorkerClock {
  private workerMs: number | undefined;

  private readAtMs = 0;

  /**
   * @param clock - the clock of this process
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Takes over a reading that has just arrived, unless it is below the lower bound, as an answer
   * that was delayed may be.
   *
   * @param workerMs - time of the worker's clock in milliseconds
   * @returns false if it is below the lower bound
   */
  addReading(workerMs: number): boolean {
    const nowMs = this.clock.monotonicMs();
    if (this.workerMs !== undefined && workerMs < this.earliestMs(nowMs)) return false;
    this.workerMs = workerMs;
    this.readAtMs = nowMs;
    return true;
  }

  /** Discards the readings: a new incarnation of the worker has another clock. */
  reset(): void {
    this.workerMs = undefined;
  }

  /**
   * @returns the earliest time that the worker's clock can show now, in milliseconds; undefined before
   * the first reading
   */
  get earliestNowMs(): number | undefined {
    return this.workerMs === undefined ? undefined : this.earliestMs(this.clock.monotonicMs());
  }

  /**
   * Converts a time of the worker's clock to a time of this process. It does not matter how late an
   * answer with that time was read.
   *
   * @param workerMs - time of the worker's clock in milliseconds, of the last reading or earlier
   * @returns monotonic time of this process in milliseconds, not later than now
   */
  toLocalMs(workerMs: number): number {
    const nowMs = this.clock.monotonicMs();
    if (this.workerMs === undefined) return nowMs;
    return Math.min(nowMs, this.readAtMs + (workerMs - this.workerMs));
  }

  /**
   * Computes from when on the worker's clock has certainly passed a time.
   *
   * @param workerMs - time of the worker's clock in milliseconds
   * @returns monotonic time of this process in milliseconds; infinite before the first reading
   */
  latestAt(workerMs: number): number {
    if (this.workerMs === undefined) return Number.POSITIVE_INFINITY;
    return this.readAtMs + (workerMs - this.workerMs) / MIN_CLOCK_RATE;
  }

  /**
   * Returns the earliest time that the worker's clock can show at a time of this process.
   *
   * @param localMs - monotonic time of this process in milliseconds
   * @returns time of the worker's clock in milliseconds, which it has certainly passed by then; negative
   *   infinity before the first reading
   */
  earliestAt(localMs: number): number {
    return this.workerMs === undefined ? Number.NEGATIVE_INFINITY : this.earliestMs(localMs);
  }

  private earliestMs(nowMs: number): number {
    return (this.workerMs ?? 0) + (nowMs - this.readAtMs) * MIN_CLOCK_RATE;
  }
}
