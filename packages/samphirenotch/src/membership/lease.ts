/**
 * A lease in the platform's store, from the point of view of its holder.
 */
import type { Clock } from '../time/clock.js';

/** A lease and the time until which it cannot have lapsed. */
export class Lease {
  private readonly controller = new AbortController();

  /**
   * @param id - id of the lease in the store
   * @param clock - the clock that `certainUntilMs` refers to
   * @param certainUntilMs - monotonic time until which the lease cannot have lapsed, in
   * milliseconds
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
   * Checks the validity against the current time, so that a pause of the process is accounted for.
   *
   * @returns true while the lease cannot have lapsed
   */
  isCertain(): boolean {
    return !this.signal.aborted && this.clock.monotonicMs() < this.certainUntilMs;
  }

  /**
   * Extends the validity; a time earlier than the present one is ignored.
   *
   * @param certainUntilMs - monotonic time until which the lease cannot have lapsed, in
   * milliseconds
   */
  extend(certainUntilMs: number): void {
    this.certainUntilMs = Math.max(this.certainUntilMs, certainUntilMs);
  }

  /** Marks the lease as lost and aborts its signal. */
  markLost(): void {
    this.controller.abort();
  }
}
