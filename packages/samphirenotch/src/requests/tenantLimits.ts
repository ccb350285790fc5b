/**
 * Keeps each tenant's requests within its limit at this entry.
 */
import type { Limit } from '../config/objects.js';
import type { Clock } from '../time/clock.js';

const MS_PER_SECOND = 1_000;

/** Time over which an unused rate is kept, in milliseconds. */
const BURST_MS = 1_000;

interface Allowance {
  tokens: number;
  readAtMs: number;
  queued: number;
}

/** Counts the requests of tenants. */
export class TenantLimits {
  private readonly allowances = new Map<string, Allowance>();

  /**
   * @param clock - for the rate
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Takes one request out of a tenant's rate.
   *
   * @param tenant - name of the tenant
   * @param limit - its limit
   * @param share - part of the limit that this entry may use, up to 1
   * @returns milliseconds until the next request may come; 0 if this one may
   */
  take(tenant: string, limit: Limit, share: number): number {
    const ratePerMs = (limit.requestsPerSecond * share) / MS_PER_SECOND;
    const most = Math.max(1, ratePerMs * BURST_MS);
    const nowMs = this.clock.monotonicMs();
    const allowance = this.allowanceOf(tenant, most, nowMs);
    const earned = (nowMs - allowance.readAtMs) * ratePerMs;
    allowance.tokens = Math.min(most, allowance.tokens + earned);
    allowance.readAtMs = nowMs;
    if (allowance.tokens < 1) return Math.ceil((1 - allowance.tokens) / ratePerMs);
    allowance.tokens -= 1;
    return 0;
  }

  /**
   * Counts a request that begins to wait.
   *
   * @param tenant - name of the tenant
   * @param limit - its limit
   * @param share - part of the limit that this entry may use, up to 1
   * @returns false if the tenant has as many waiting as it may
   */
  enterQueue(tenant: string, limit: Limit, share: number): boolean {
    const allowance = this.allowanceOf(tenant, 1, this.clock.monotonicMs());
    if (allowance.queued >= Math.ceil(limit.queuedRequests * share)) return false;
    allowance.queued += 1;
    return true;
  }

  /**
   * Counts a request that waits no more.
   *
   * @param tenant - name of the tenant
   */
  leaveQueue(tenant: string): void {
    const allowance = this.allowances.get(tenant);
    if (allowance) allowance.queued -= 1;
  }

  private allowanceOf(tenant: string, tokens: number, nowMs: number): Allowance {
    const known = this.allowances.get(tenant);
    if (known) return known;
    const fresh: Allowance = { tokens, readAtMs: nowMs, queued: 0 };
    this.allowances.set(tenant, fresh);
    return fresh;
  }
}
