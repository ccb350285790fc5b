/**
 * Limits the rate of task starts after capacity has returned, with a token bucket whose rate keeps
 * doubling until the returned capacity is filled.
 */
import type { StartPacing } from './startPacing.js';

/** Settings of the pacing of starts. */
export interface PacedStartsSettings {
  /** Starts per second immediately after capacity has returned. */
  readonly initialStartsPerSecond: number;
  /** Time in which the rate doubles, in milliseconds. */
  readonly doublingMs: number;
  /** Time after the return of capacity for which starts are paced, in milliseconds. */
  readonly pacingMs: number;
  /** Number of starts that may be made at once (initial permits). */
  readonly burst: number;
}

/** Default settings, which an entry uses. */
export const PACED_STARTS_DEFAULTS: PacedStartsSettings = {
  initialStartsPerSecond: 2,
  doublingMs: 4_000,
  pacingMs: 40_000,
  burst: 2,
};

const MILLISECONDS_PER_SECOND = 1_000;

/** Paces task starts after capacity has returned. */
export class PacedStarts implements StartPacing {
  private readonly settings: PacedStartsSettings;

  private returnedAtMs = -Infinity;

  private refilledAtMs = 0;

  private permits = 0;

  /**
   * @param settings - initial rate, its growth and duration
   */
  constructor(settings: PacedStartsSettings = PACED_STARTS_DEFAULTS) {
    this.settings = settings;
  }

  /**
   * Starts pacing, from the initial rate also if starts are being paced already.
   *
   * @param nowMs - current time, in milliseconds
   */
  capacityReturned(nowMs: number): void {
    this.returnedAtMs = nowMs;
    this.refilledAtMs = nowMs;
    this.permits = this.settings.burst;
  }

  /**
   * Takes a permit for one start.
   *
   * @param nowMs - current time, in milliseconds
   * @returns false if the start has to wait
   */
  tryStart(nowMs: number): boolean {
    if (nowMs - this.returnedAtMs >= this.settings.pacingMs) return true;
    this.refill(nowMs);
    if (this.permits < 1) return false;
    this.permits -= 1;
    return true;
  }

  private refill(nowMs: number): void {
    const { burst } = this.settings;
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    const rate = this.startsPerSecond(nowMs);
    const earned = (rate * elapsedMs) / MILLISECONDS_PER_SECOND;
    this.permits = Math.min(Math.max(burst, rate), this.permits + earned);
    this.refilledAtMs = nowMs;
  }

  private startsPerSecond(nowMs: number): number {
    const { initialStartsPerSecond, doublingMs } = this.settings;
    return initialStartsPerSecond * 2 ** ((nowMs - this.returnedAtMs) / doublingMs);
  }
}
