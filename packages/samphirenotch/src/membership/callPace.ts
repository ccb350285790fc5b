/**
 * Paces calls to the store: a token bucket, and pauses that grow while the store refuses.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { remainingMs, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';

/** How fast calls may be sent. */
export interface PaceSettings {
  readonly callsPerSecond: number;
  /** Calls that may be sent at once after a rest. */
  readonly burst: number;
  /** First pause after a refusal, in milliseconds. */
  readonly shortestPauseMs: number;
  /** Longest pause, in milliseconds. */
  readonly longestPauseMs: number;
  /** Seed of the jitter. */
  readonly seed: number;
}

/** Pace used unless settings say otherwise. */
export const PACE_SETTINGS: PaceSettings = {
  callsPerSecond: 100,
  burst: 100,
  shortestPauseMs: 50,
  longestPauseMs: 2000,
  seed: 1,
};

const SECOND_MS = 1000;

/** Says when the next call may be sent. */
export class CallPace {
  private tokens: number;

  private filledAtMs: number;

  private failures = 0;

  private pausedUntilMs = -Infinity;

  private readonly random: RandomGenerator;

  /**
   * @param clock - fills the bucket
   * @param settings - how fast
   */
  constructor(
    private readonly clock: Clock,
    private readonly settings: PaceSettings,
  ) {
    this.tokens = settings.burst;
    this.filledAtMs = clock.monotonicMs();
    this.random = xoroshiro128plus(settings.seed);
  }

  /**
   * Waits for permission to send. Each call books its turn at once, so calls go in order.
   *
   * @param call - until when it is of use
   * @returns whether the call may be sent; if not, its deadline is too near or it was cancelled
   */
  async admit(call: Call): Promise<boolean> {
    this.fill();
    const tokenWaitMs = Math.max(0, ((1 - this.tokens) * SECOND_MS) / this.settings.callsPerSecond);
    const pauseMs = Math.max(0, this.pausedUntilMs - this.clock.monotonicMs());
    const waitMs = Math.max(tokenWaitMs, pauseMs);
    if (waitMs > remainingMs(this.clock, call)) return false;
    this.tokens -= 1;
    if (waitMs > 0) await this.clock.sleep(waitMs, call.signal);
    return !call.signal.aborted;
  }

  /** Books a call that may not wait. */
  force(): void {
    this.fill();
    this.tokens = Math.max(-this.settings.burst, this.tokens - 1);
  }

  /** Notes that the store answered. */
  succeeded(): void {
    this.failures = 0;
    this.pausedUntilMs = -Infinity;
  }

  /** Notes that the store refused or did not answer; pauses grow, each of random length. */
  failed(): void {
    const { shortestPauseMs, longestPauseMs } = this.settings;
    const ceilingMs = Math.min(longestPauseMs, shortestPauseMs * 2 ** this.failures);
    this.failures += 1;
    const pauseMs = uniformInt(this.random, Math.ceil(ceilingMs / 2), ceilingMs);
    this.pausedUntilMs = Math.max(this.pausedUntilMs, this.clock.monotonicMs() + pauseMs);
  }

  private fill(): void {
    const nowMs = this.clock.monotonicMs();
    const earned = ((nowMs - this.filledAtMs) * this.settings.callsPerSecond) / SECOND_MS;
    this.tokens = Math.min(this.settings.burst, this.tokens + earned);
    this.filledAtMs = nowMs;
  }
}
