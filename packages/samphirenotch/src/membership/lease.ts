/**
 * A lease in the platform's store as its holder sees it.
 */
import type { Clock } from '../time/clock.js';

/** A lease with the time until which nobody else can have taken its place. */
export class Lease {
  private readonly controller = new AbortController();

  /**
   * @param id - id in the store
   * @param clock - the clock that validity is read on
   * @param certainUntilMs - monotonic time until which the lease cannot have lapsed
   */
  constructor(
    readonly id: string,
    private readonly clock: Clock,
    private certainUntilMs: number,
  ) {}

  /** Aborted once the lease is known to be lost. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Reads the clock now, so that a pause before the question counts.
   *
   * @returns true while the lease cannot have lapsed
   */
  isCertain(): boolean {
    return !this.signal.aborted && this.clock.monotonicMs() < this.certainUntilMs;
  }

  /**
   * Moves the end of certainty, never backwards.
   *
   * @param certainUntilMs - monotonic time, in milliseconds
   */
  extend(certainUntilMs: number): void {
    this.certainUntilMs = Math.max(this.certainUntilMs, certainUntilMs);
  }

  /** Says that the lease is lost. */
  markLost(): void {
    this.controller.abort();
  }
}
