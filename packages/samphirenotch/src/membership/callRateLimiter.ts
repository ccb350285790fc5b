/**
 * Paces calls to the store: a token bucket, and pauses that grow while the store refuses.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { remainingMs, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';

/** How fast calls may be sent. */
export interface CallRateSettings {
  readonly callsPerSecond: number;
  /** Calls that may be sent at once after a rest. */
  readonly burst: number;
  /** First pause after a refusal, in milliseconds. */
  readonly minimumBackoffMs: number;
  /** Longest pause, in milliseconds. */
  readonly maximumBackoffMs: number;
  /** Seed of the jitter. */
  readonly seed: number;
}

/** Pace used unless settings say otherwise. */
export const DEFAULT_CALL_RATE_SETTINGS: CallRateSettings = {
  callsPerSecond: 100,
  burst: 100,
  minimumBackoffMs: 50,
  maximumBackoffMs: 2000,
  seed: 1,
};

const SECOND_MS = 1000;

/** Says when the next call may be sent. */
export class CallRateLimiter {
  private tokens: number;

  private refilledAtMs: number;

  private consecutiveFailures = 0;

  private backoffUntilMs = -Infinity;

  private readonly random: RandomGenerator;

  /**
   * @param clock - fills the bucket
   * @param settings - how fast
   */
  constructor(
    private readonly clock: Clock,
    private readonly settings: CallRateSettings,
  ) {
    this.tokens = settings.burst;
    this.refilledAtMs = clock.monotonicMs();
    this.random = xoroshiro128plus(settings.seed);
  }

  /**
   * Waits for permission to send. Each call books its turn at once, so calls go in order.
   *
   * @param call - until when it is of use
   * @returns whether the call may be sent; if not, its deadline is too near or it was cancelled
   */
  async admit(call: Call): Promise<boolean> {
    this.refill();
    const tokenWaitMs = Math.max(0, ((1 - this.tokens) * SECOND_MS) / this.settings.callsPerSecond);
    const backoffMs = Math.max(0, this.backoffUntilMs - this.clock.monotonicMs());
    const waitMs = Math.max(tokenWaitMs, backoffMs);
    if (waitMs > remainingMs(this.clock, call)) return false;
    this.tokens -= 1;
    if (waitMs > 0) await this.clock.sleep(waitMs, call.signal);
    return !call.signal.aborted;
  }

  /** Books a call that may not wait. */
  takeWithoutWaiting(): void {
    this.refill();
    this.tokens = Math.max(-this.settings.burst, this.tokens - 1);
  }

  /** Notes that the store answered. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.backoffUntilMs = -Infinity;
  }

  /** Notes that the store refused or did not answer; pauses grow, each of random length. */
  recordFailure(): void {
    const { minimumBackoffMs, maximumBackoffMs } = this.settings;
    const ceilingMs = Math.min(maximumBackoffMs, minimumBackoffMs * 2 ** this.consecutiveFailures);
    this.consecutiveFailures += 1;
    const backoffMs = uniformInt(this.random, Math.ceil(ceilingMs / 2), ceilingMs);
    this.backoffUntilMs = Math.max(this.backoffUntilMs, this.clock.monotonicMs() + backoffMs);
  }

  private refill(): void {
    const nowMs = this.clock.monotonicMs();
    const refilledTokens = ((nowMs - this.refilledAtMs) * this.settings.callsPerSecond) / SECOND_MS;
    this.tokens = Math.min(this.settings.burst, this.tokens + refilledTokens);
    this.refilledAtMs = nowMs;
  }
}
