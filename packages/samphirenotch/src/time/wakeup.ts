/**
 * Lets loops wait for an event with a timeout.
 */
import { offAbort, onAbort } from './abortListeners.js';
import type { Clock } from './clock.js';

/** Shared abort reason, because creating an error costs more than the rest of a wake-up. */
const WOKEN = new Error('woken');

/** A wait that `wake` ends. A wake-up while nothing waits is remembered for the next wait. */
export class Wakeup {
  private isWakePending = false;

  private readonly waiters = new Set<AbortController>();

  /**
   * @param clock - for the timeout of waits
   */
  constructor(private readonly clock: Clock) {}

  /** Ends all current waits, or the next one if there are none. */
  wake(): void {
    this.isWakePending = this.waiters.size === 0;
    this.waiters.forEach((controller) => controller.abort(WOKEN));
  }

  /**
   * Waits for a wake-up, a timeout or the signal.
   *
   * @param maximumMs - the timeout, in milliseconds
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
