/**
 * Allows further sends in proportion to first sends, so that total sends stay within a factor also
 * when everything fails.
 */
import { QuantileEstimate } from './quantileEstimate.js';

import type { RetryPolicy } from './retryPolicy.js';

/** Settings of the budget. */
export interface RetryBudgetSettings {
  /** Further sends earned per first send. */
  readonly tokensPerFirstSend: number;
  /** Further sends that may be saved up, and that a fresh budget holds. */
  readonly maximumTokens: number;
  /** Quantile of latency after which a hedging send is due; 0 for no hedging. */
  readonly hedgeQuantile: number;
  /** Latencies that have to be known before a class is hedged. */
  readonly minimumLatencies: number;
}

/** Default settings, which an entry uses. */
export const RETRY_BUDGET_DEFAULTS: RetryBudgetSettings = {
  tokensPerFirstSend: 0.1,
  maximumTokens: 20,
  hedgeQuantile: 0.95,
  minimumLatencies: 100,
};

/** A budget of tokens that first sends earn and further sends spend. */
export class RetryBudget implements RetryPolicy {
  private readonly settings: RetryBudgetSettings;

  private readonly latencies = new Map<string, QuantileEstimate>();

  private tokens: number;

  /**
   * @param settings - the budget and when to hedge
   */
  constructor(settings: RetryBudgetSettings = RETRY_BUDGET_DEFAULTS) {
    this.settings = settings;
    this.tokens = settings.maximumTokens;
  }

  /** Earns a share of a further send. */
  recordFirstSend(): void {
    this.tokens = Math.min(
      this.settings.maximumTokens,
      this.tokens + this.settings.tokensPerFirstSend,
    );
  }

  /**
   * Spends one further send.
   *
   * @returns false if the budget does not hold a whole one
   */
  tryRetry(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /**
   * Tells when a hedging send is due.
   *
   * @param taskClass - class of the request
   * @returns milliseconds after the first send, or nothing while too little is known
   */
  hedgeDelayMs(taskClass: string): number | undefined {
    const { hedgeQuantile, minimumLatencies } = this.settings;
    if (hedgeQuantile === 0) return undefined;
    const latency = this.latencies.get(taskClass);
    if (!latency || latency.count() < minimumLatencies) return undefined;
    return latency.value();
  }

  /**
   * Learns the latency of an answered send.
   *
   * @param taskClass - class of the request
   * @param latencyMs - its latency, in milliseconds
   */
  observeLatency(taskClass: string, latencyMs: number): void {
    if (this.settings.hedgeQuantile === 0) return;
    const known = this.latencies.get(taskClass);
    const latency = known ?? new QuantileEstimate(this.settings.hedgeQuantile);
    if (!known) this.latencies.set(taskClass, latency);
    latency.observe(latencyMs);
  }
}
