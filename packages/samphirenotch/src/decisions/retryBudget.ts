/**
 * Allows retries and hedged requests in proportion to first sends (token bucket), so that the total
 * number of sends stays bounded even when every request fails.
 */
import { QuantileEstimate } from './quantileEstimate.js';

import type { RetryPolicy } from './retryPolicy.js';

/** Settings of a retry budget. */
export interface RetryBudgetSettings {
  /** Tokens that a first send adds; a retry or hedged request costs one token. */
  readonly tokensPerFirstSend: number;
  /** Maximum number of tokens, which is also the initial number. */
  readonly maximumTokens: number;
  /** Quantile of latency after which a hedged request is due; 0 disables hedging. */
  readonly hedgeQuantile: number;
  /** Number of latencies that have to be known before requests of a class are hedged. */
  readonly minimumLatencies: number;
}

/** Default settings, which an entry uses. */
export const RETRY_BUDGET_DEFAULTS: RetryBudgetSettings = {
  tokensPerFirstSend: 0.1,
  maximumTokens: 20,
  hedgeQuantile: 0.95,
  minimumLatencies: 100,
};

/** Budget of tokens that first sends add and further sends consume. */
export class RetryBudget implements RetryPolicy {
  private readonly settings: RetryBudgetSettings;

  /** Estimate of the hedging quantile, by class. */
  private readonly latencies = new Map<string, QuantileEstimate>();

  private tokens: number;

  /**
   * @param settings - size of the budget, and delay of hedging
   */
  constructor(settings: RetryBudgetSettings = RETRY_BUDGET_DEFAULTS) {
    this.settings = settings;
    this.tokens = settings.maximumTokens;
  }

  /** Adds the tokens of a first send, up to the maximum. */
  recordFirstSend(): void {
    this.tokens = Math.min(
      this.settings.maximumTokens,
      this.tokens + this.settings.tokensPerFirstSend,
    );
  }

  /**
   * Takes one token for a further send.
   *
   * @returns false if there is less than one token
   */
  tryRetry(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /**
   * Returns the delay after which a hedged request is due.
   *
   * @param taskClass - class of the request
   * @returns milliseconds after the first send, or `undefined` while too few latencies are known
   */
  hedgeDelayMs(taskClass: string): number | undefined {
    const { hedgeQuantile, minimumLatencies } = this.settings;
    if (hedgeQuantile === 0) return undefined;
    const latency = this.latencies.get(taskClass);
    if (!latency || latency.count() < minimumLatencies) return undefined;
    return latency.value();
  }

  /**
   * Records the latency of an answered send.
   *
   * @param taskClass - class of the request
   * @param latencyMs - latency, in milliseconds
   */
  observeLatency(taskClass: string, latencyMs: number): void {
    if (this.settings.hedgeQuantile === 0) return;
    const known = this.latencies.get(taskClass);
    const latency = known ?? new QuantileEstimate(this.settings.hedgeQuantile);
    if (!known) this.latencies.set(taskClass, latency);
    latency.observe(latencyMs);
  }
}
