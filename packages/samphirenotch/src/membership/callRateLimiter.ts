/**
 * Limits the rate of calls to the store with a token bucket, and backs off exponentially while the
 * store is overloaded or does not answer.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { remainingMs, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';

/** Rate limit and backoff of calls to the store. */
export interface CallRateSettings {
  /** Sustained rate at which tokens are added. */
  readonly callsPerSecond: number;
  /** Capacity of the bucket: calls that may be sent at once after an idle period. */
  readonly burst: number;
  /** Upper bound of the backoff after the first failure, in milliseconds. */
  readonly initialBackoffMs: number;
  /** Upper bound of every backoff, in milliseconds. */
  readonly maximumBackoffMs: number;
  /** Seed of the jitter. */
  readonly seed: number;
}

/** Rate limit used by default. */
export const DEFAULT_CALL_RATE_SETTINGS: CallRateSettings = {
  callsPerSecond: 100,
  burst: 100,
  initialBackoffMs: 50,
  maximumBackoffMs: 2000,
  seed: 1,
};

const SECOND_MS = 1000;

/** Delays or rejects calls that exceed the rate limit. */
export class CallRateLimiter {
  private tokens: number;

  private refilledAtMs: number;

  private consecutiveFailures = 0;

  private backoffUntilMs = -Infinity;

  private readonly random: RandomGenerator;

  /**
   * @param clock - determines how many tokens are added
   * @param settings - rate limit and backoff
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
   * Waits until the call may be sent. Each call takes its token before it waits, so calls are sent
   * in order.
   *
   * @param call - deadline and cancellation of the call
   * @returns true if the call may be sent, false if it would miss its deadline or was cancelled
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

  /**
   * Takes a token for a call that must not wait. The bucket can go into debt by at most one burst.
   */
  takeWithoutWaiting(): void {
    this.refill();
    this.tokens = Math.max(-this.settings.burst, this.tokens - 1);
  }

  /** Records that the store answered, which ends the backoff. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.backoffUntilMs = -Infinity;
  }

  /**
   * Records that the store was overloaded or did not answer. The backoff doubles with each
   * consecutive failure, with jitter.
   */
  recordFailure(): void {
    const { initialBackoffMs, maximumBackoffMs } = this.settings;
    const ceilingMs = Math.min(maximumBackoffMs, initialBackoffMs * 2 ** this.consecutiveFailures);
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
