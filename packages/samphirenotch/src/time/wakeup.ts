/**
 * Lets loops wait for a while or until something happens.
 */
import { offAbort, onAbort } from './abortListeners.js';
import type { Clock } from './clock.js';

/** One reason for all: making one anew costs more than the rest of a wake-up. */
const WOKEN = new Error('woken');

/** A wait that can be ended from elsewhere; a wake-up before the wait counts. */
export class Wakeup {
  private pending = false;

  private readonly waiting = new Set<AbortController>();

  /**
   * @param clock - for the longest wait
   */
  constructor(private readonly clock: Clock) {}

  /** Ends all waits, or the next one if nobody waits. */
  wake(): void {
    this.pending = this.waiting.size === 0;
    this.waiting.forEach((controller) => controller.abort(WOKEN));
  }

  /**
   * Waits for a wake-up.
   *
   * @param longestMs - the longest wait, in milliseconds
   * @param signal - ends the wait early
   */
  async wait(longestMs: number, signal: AbortSignal): Promise<void> {
    if (this.pending || signal.aborted) {
      this.pending = false;
      return;
    }
    const controller = new AbortController();
    const stop = (): void => controller.abort(WOKEN);
    this.waiting.add(controller);
    onAbort(signal, stop);
    await this.clock.sleep(longestMs, controller.signal);
    offAbort(signal, stop);
    this.waiting.delete(controller);
  }
}
