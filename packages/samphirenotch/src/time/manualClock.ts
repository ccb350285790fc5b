/**
 * A clock that advances only on request, for tests and seeded benchmarks.
 */
import { offAbort, onAbort } from './abortListeners.js';
import type { Clock } from './clock.js';

/** A pending call of `sleep`. */
interface Sleeper {
  /** Clock reading at which the sleep ends, in milliseconds. */
  readonly wakeAtMs: number;
  readonly wake: () => void;
}

/** Lets pending promise callbacks run before the clock advances further. */
const flushCallbacks = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** A clock that is advanced manually. Its wall time equals its monotonic time. */
export class ManualClock implements Clock {
  private nowMs: number;

  private sleepers: Sleeper[] = [];

  /**
   * @param startMs - the initial reading, in milliseconds
   */
  constructor(startMs = 1_000_000) {
    this.nowMs = startMs;
  }

  monotonicMs(): number {
    return this.nowMs;
  }

  wallMs(): number {
    return this.nowMs;
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const wakeAtMs = this.nowMs + durationMs;
      const wake = (): void => {
        this.sleepers = this.sleepers.filter((each) => each.wake !== wake);
        if (signal) offAbort(signal, wake);
        resolve();
      };
      this.sleepers.push({ wakeAtMs, wake });
      if (signal) onAbort(signal, wake);
    });
  }

  /**
   * Advances the clock and wakes sleepers in order of their wake-up times.
   *
   * @param durationMs - by how much, in milliseconds
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    await flushCallbacks();
    for (;;) {
      const next = this.nextSleeper(endMs);
      if (!next) break;
      this.nowMs = Math.max(this.nowMs, next.wakeAtMs);
      this.sleepers = this.sleepers.filter((each) => each !== next);
      next.wake();
      await flushCallbacks();
    }
    // A woken callback may have moved the clock past the end by itself.
    this.nowMs = Math.max(this.nowMs, endMs);
    await flushCallbacks();
  }

  /**
   * Advances the clock without waking sleepers, as if the process had been paused.
   *
   * @param durationMs - by how much, in milliseconds
   */
  jump(durationMs: number): void {
    this.nowMs += durationMs;
  }

  private nextSleeper(endMs: number): Sleeper | undefined {
    const due = this.sleepers.filter((each) => each.wakeAtMs <= endMs);
    return due.sort((left, right) => left.wakeAtMs - right.wakeAtMs)[0];
  }
}
