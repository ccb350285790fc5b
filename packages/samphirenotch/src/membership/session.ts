/**
 * Keeps the single lease of an entry in the platform's store. All keys of the entry are attached to
 * it.
 *
 * The number of renewals thus grows with the number of entries, not of resources. The validity of
 * the lease is counted from the time at which the last successful renewal was sent, not from when
 * it was answered, so a pause between sending and reading the response shortens it.
 */
import type { Failure } from '../failure.js';
import { partLog } from '../observability/log.js';
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import { Err, Ok, type Result } from '../results.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { Lease } from './lease.js';

/** Durations that govern a session. */
export interface SessionTimes {
  /** Time after which the store drops a lease that was not renewed, in milliseconds. */
  readonly timeToLiveMs: number;
  /** Pause between renewals, in milliseconds. */
  readonly renewIntervalMs: number;
  /** Subtracted from the time to live because clocks drift apart, in milliseconds. */
  readonly driftMarginMs: number;
  /** Timeout of one call to the store, in milliseconds. */
  readonly callTimeoutMs: number;
}

/** Durations used by default. */
export const SESSION_TIMES: SessionTimes = {
  timeToLiveMs: 5000,
  renewIntervalMs: 1000,
  driftMarginMs: 500,
  callTimeoutMs: 1000,
};

const log = partLog('session');

/** Renews one lease, and replaces it with a new one when it is lost. */
export class Session {
  private lease: Lease | undefined;

  private readonly listeners: (() => void)[] = [];

  /**
   * @param store - the platform's store
   * @param clock - measures the validity of the lease
   * @param times - durations of the session
   */
  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly times: SessionTimes = SESSION_TIMES,
  ) {}

  /**
   * Returns the current lease. It may no longer be certain.
   *
   * @returns the lease, if one was granted and is not known to be lost
   */
  current(): Lease | undefined {
    return this.lease;
  }

  /**
   * Registers a listener that is called after a lease was granted or lost.
   *
   * @param listener - called without arguments
   */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Obtains and renews a lease until the signal aborts.
   *
   * @param signal - ends the loop
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.grantOrRenew(signal);
      await this.clock.sleep(this.times.renewIntervalMs, signal);
    }
  }

  /**
   * Revokes the lease in the store, which removes every key attached to it.
   *
   * @returns success once the store has confirmed it, else the failure
   */
  async end(): Promise<Result<void, Failure>> {
    const { lease } = this;
    if (!lease) return Ok(undefined);
    this.loseLease();
    const call = callWithin(this.clock, this.times.callTimeoutMs);
    const revoked = await this.store.revokeLease(lease.id, call);
    return revoked.ok ? Ok(undefined) : Err(revoked.val);
  }

  private grantOrRenew(signal: AbortSignal): Promise<void> {
    return this.lease ? this.renew(this.lease, signal) : this.grant(signal);
  }

  private async grant(signal: AbortSignal): Promise<void> {
    const sentAtMs = this.clock.monotonicMs();
    const call = callWithin(this.clock, this.times.callTimeoutMs, signal);
    const granted = await this.store.grantLease(this.times.timeToLiveMs, call);
    if (!granted.ok) {
      log.warn('No lease was granted.', { reason: granted.val.message });
      return;
    }
    this.lease = new Lease(granted.val, this.clock, sentAtMs + this.validMs());
    this.notify();
  }

  private async renew(lease: Lease, signal: AbortSignal): Promise<void> {
    const sentAtMs = this.clock.monotonicMs();
    const call = callWithin(this.clock, this.times.callTimeoutMs, signal);
    const renewed = await this.store.renewLease(lease.id, call);
    if (this.lease !== lease) return;
    if (!renewed.ok) {
      log.debug('The lease was not renewed.', { reason: renewed.val.message });
      return;
    }
    if (renewed.val) {
      lease.extend(sentAtMs + this.validMs());
      return;
    }
    log.warn('The store no longer knows the lease.', { lease: lease.id });
    this.loseLease();
    await this.grant(signal);
  }

  private validMs(): number {
    return this.times.timeToLiveMs - this.times.driftMarginMs;
  }

  private loseLease(): void {
    this.lease?.markLost();
    this.lease = undefined;
    this.notify();
  }

  private notify(): void {
    this.listeners.forEach((listener) => listener());
  }
}
