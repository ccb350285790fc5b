/**
 * Lets loops wait for a while or until something happens.
 */
import { offAbort, onAbort } from './abortListeners.js';
import type { Clock } from './clock.js';

/** One reason for all: making one anew costs more than the rest of a wake-up. */
const WOKEN = new Error('woken');

/** A wait that can be ended from elsewhere; a wake-up before the wait counts. */
export class Wakeup {
  private isWakePending = false;

  private readonly waiters = new Set<AbortController>();

  /**
   * @param clock - for the longest wait
   */
  constructor(private readonly clock: Clock) {}

  /** Ends all waits, or the next one if nobody waits. */
  wake(): void {
    this.isWakePending = this.waiters.size === 0;
    this.waiters.forEach((controller) => controller.abort(WOKEN));
  }

  /**
   * Waits for a wake-up.
   *
   * @param maximumMs - the longest wait, in milliseconds
   * @param signal - ends the wait early
   */
  async wait(maximumMs: number, signal: AbortSignal): Promise<void> {
    if (this.isWakePending || signal.aborted) {
      this.isWakePending = false;
      return;
    }
    const controller = new AbortController();
    const endWait = (): void => controller.abort(WOKEN);
    this.waiters.add(controller);
    onAbort(signal, endWait);
    await this.clock.sleep(maximumMs, controller.signal);
    offAbort(signal, endWait);
    this.waiters.delete(controller);
  }
}
