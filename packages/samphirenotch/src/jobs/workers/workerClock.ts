/**
 * What is known of the steady clock of a worker in another place.
 */
import type { Clock } from '../../time/clock.js';

/** A worker's clock may be this much slow. */
const MIN_CLOCK_RATE = 0.98;

/** Bounds of a worker's clock, from its last reading. */
export class WorkerClock {
  private workerMs: number | undefined;

  private readAtMs = 0;

  /**
   * @param clock - the clock of this process
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Takes a reading that has just arrived.
   *
   * @param workerMs - what the worker's clock showed, in milliseconds
   */
  addReading(workerMs: number): void {
    const nowMs = this.clock.monotonicMs();
    if (this.workerMs !== undefined && workerMs < this.earliestMs(nowMs)) return;
    this.workerMs = workerMs;
    this.readAtMs = nowMs;
  }

  /** Forgets the readings, for a new life of the worker. */
  reset(): void {
    this.workerMs = undefined;
  }

  /** @returns the worker's clock as far as it can be told now, or undefined before a reading */
  nowMs(): number | undefined {
    return this.workerMs === undefined
      ? undefined
      : this.workerMs + (this.clock.monotonicMs() - this.readAtMs);
  }

  /**
   * Tells when the worker's clock showed a time, however late that was read.
   *
   * @param workerMs - the time on the worker's clock, of the last reading or before
   * @returns monotonic time of this process in milliseconds, not later than now
   */
  toLocalMs(workerMs: number): number {
    const nowMs = this.clock.monotonicMs();
    if (this.workerMs === undefined) return nowMs;
    return Math.min(nowMs, this.readAtMs + (workerMs - this.workerMs));
  }

  /**
   * Tells whether the worker's clock has certainly passed a time.
   *
   * @param workerMs - the time on the worker's clock
   * @returns true only if it has, however slow the clock is
   */
  hasPassed(workerMs: number): boolean {
    return this.workerMs !== undefined && this.earliestMs(this.clock.monotonicMs()) >= workerMs;
  }

  private earliestMs(nowMs: number): number {
    return (this.workerMs ?? 0) + (nowMs - this.readAtMs) * MIN_CLOCK_RATE;
  }
}
