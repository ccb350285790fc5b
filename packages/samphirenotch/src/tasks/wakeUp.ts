/**
 * Lets one loop sleep until there is news or a while has passed.
 */
import type { Clock } from '../time/clock.js';

/** A wait that others can end early. */
export class WakeUp {
  private pending = false;

  private sleeping: AbortController | undefined;

  /**
   * @param clock - the clock to sleep on
   * @param stop - ends every wait
   */
  constructor(
    private readonly clock: Clock,
    private readonly stop: AbortSignal,
  ) {}

  /** Ends the present wait, or the next one at once. */
  notify(): void {
    this.pending = true;
    this.sleeping?.abort();
  }

  /**
   * Waits for news.
   *
   * @param longestMs - the longest wait, in milliseconds
   */
  async wait(longestMs: number): Promise<void> {
    if (!this.pending && !this.stop.aborted) {
      this.sleeping = new AbortController();
      const end = (): void => this.sleeping?.abort();
      this.stop.addEventListener('abort', end);
      await this.clock.sleep(longestMs, this.sleeping.signal);
      this.stop.removeEventListener('abort', end);
      this.sleeping = undefined;
    }
    this.pending = false;
  }
}
