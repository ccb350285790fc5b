/**
 * The platform's key-value service in memory, with switches for its faults.
 */
import { EventEmitter, once } from 'node:events';

import { Failure } from 'samphirenotch/failure.js';
import type {
  Change,
  ChangeBatch,
  KeyValue,
  KeyValueStore,
  Listing,
  Swap,
  SwapOutcome,
} from 'samphirenotch/infrastructure/keyValueStore.js';
import { Err, Ok, type Result } from 'samphirenotch/results.js';
import { remainingMs, type Call } from 'samphirenotch/time/call.js';
import type { Clock } from 'samphirenotch/time/clock.js';

import { CallMeter, type CallKind, type RateCeilings } from './callMeter.js';
import { noStoreFaults, type StoreFaults } from './storeFaults.js';

const MAXIMUM_VALUE_BYTES = 1024 * 1024;
const KEPT_CHANGES = 20_000;
const DEFAULT_CEILINGS: RateCeilings = { readsPerSecond: 2000, writesPerSecond: 400 };

interface StoredValue extends KeyValue {
  readonly leaseId: string | undefined;
}

interface StoredLease {
  readonly timeToLiveMs: number;
  expiresAtMs: number;
}

/** A key-value store in the memory of one process. */
export class MemoryKeyValueStore implements KeyValueStore {
  readonly maximumValueBytes = MAXIMUM_VALUE_BYTES;

  readonly faults: StoreFaults = noStoreFaults();

  readonly meter: CallMeter;

  private readonly values = new Map<string, StoredValue>();

  private readonly leases = new Map<string, StoredLease>();

  private readonly events = new EventEmitter().setMaxListeners(0);

  private changes: Change[] = [];

  private forgottenRevision = 0;

  private revision = 0;

  private leaseCount = 0;

  /**
   * @param clock - time for leases and delays
   * @param ceilings - calls let through in a second
   */
  constructor(
    private readonly clock: Clock,
    ceilings: RateCeilings = DEFAULT_CEILINGS,
  ) {
    this.meter = new CallMeter(ceilings);
  }

  async get(key: string, call: Call): Promise<Result<KeyValue | undefined, Failure>> {
    const failure = await this.enter('read', 'store.get', call);
    if (failure) return Err(failure);
    return Ok(this.read(key));
  }

  async list(prefix: string, call: Call): Promise<Result<Listing, Failure>> {
    const failure = await this.enter('read', 'store.list', call);
    if (failure) return Err(failure);
    const keys = [...this.values.keys()].filter((key) => key.startsWith(prefix)).sort();
    const items = keys.map((key) => this.read(key) as KeyValue);
    return Ok({ items, revision: this.revision });
  }

  async swap(swap: Swap, call: Call): Promise<Result<SwapOutcome, Failure>> {
    const failure = await this.enter('write', 'store.swap', call);
    if (failure) return Err(failure);
    const invalid = this.invalidSwap(swap);
    if (invalid) return Err(invalid);
    const current = this.read(swap.key);
    if ((current?.revision ?? 0) !== swap.expectedRevision) {
      return this.answer('store.swap', { kind: 'conflict', ...(current ? { current } : {}) });
    }
    this.write(swap.key, swap.value, swap.leaseId);
    return this.answer('store.swap', { kind: 'swapped', revision: this.revision });
  }

  async remove(
    key: string,
    expectedRevision: number,
    call: Call,
  ): Promise<Result<boolean, Failure>> {
    const failure = await this.enter('write', 'store.remove', call);
    if (failure) return Err(failure);
    const matches = this.values.get(key)?.revision === expectedRevision;
    if (matches) this.erase(key);
    return this.answer('store.remove', matches);
  }

  async grantLease(timeToLiveMs: number, call: Call): Promise<Result<string, Failure>> {
    const failure = await this.enter('write', 'store.grantLease', call);
    if (failure) return Err(failure);
    this.leaseCount += 1;
    const leaseId = `lease-${this.leaseCount}`;
    this.leases.set(leaseId, {
      timeToLiveMs,
      expiresAtMs: this.clock.monotonicMs() + timeToLiveMs,
    });
    return this.answer('store.grantLease', leaseId);
  }

  async renewLease(leaseId: string, call: Call): Promise<Result<boolean, Failure>> {
    const failure = await this.enter('write', 'store.renewLease', call);
    if (failure) return Err(failure);
    const lease = this.leases.get(leaseId);
    if (lease) lease.expiresAtMs = this.clock.monotonicMs() + lease.timeToLiveMs;
    return this.answer('store.renewLease', lease !== undefined);
  }

  async revokeLease(leaseId: string, call: Call): Promise<Result<boolean, Failure>> {
    const failure = await this.enter('write', 'store.revokeLease', call);
    if (failure) return Err(failure);
    const known = this.leases.has(leaseId);
    this.endLease(leaseId);
    return this.answer('store.revokeLease', known);
  }

  async watch(
    prefix: string,
    afterRevision: number,
    holdMs: number,
    call: Call,
  ): Promise<Result<ChangeBatch, Failure>> {
    const failure = await this.enter('watch', 'store.watch', call);
    if (failure) return Err(failure);
    const endMs = Math.min(this.clock.monotonicMs() + holdMs, call.deadlineMs);
    while (!this.hasNews(prefix, afterRevision)) {
      const nowMs = this.clock.monotonicMs();
      if (nowMs >= endMs || call.signal.aborted) break;
      await this.waitForChange(Math.min(endMs, this.nextExpiryMs()) - nowMs, call.signal);
      this.expireLeases();
    }
    if (this.faults.down) return Err(this.unavailable('store.watch', 'not-run'));
    return Ok(this.batchAfter(prefix, afterRevision));
  }

  async close(): Promise<void> {
    this.events.emit('change');
  }

  private async enter(kind: CallKind, step: string, call: Call): Promise<Failure | undefined> {
    const waitMs = this.meter.admit(kind, this.clock.monotonicMs());
    if (waitMs > 0) return this.overloaded(step, waitMs);
    if (this.faults.delayMs > 0) await this.clock.sleep(this.faults.delayMs, call.signal);
    if (this.faults.down) return this.unavailable(step, 'unknown');
    if (remainingMs(this.clock, call) <= 0) return this.unavailable(step, 'unknown');
    this.expireLeases();
    return undefined;
  }

  private answer<T>(step: string, value: T): Result<T, Failure> {
    if (this.faults.loseAnswers <= 0) return Ok(value);
    this.faults.loseAnswers -= 1;
    return Err(this.unavailable(step, 'unknown'));
  }

  private invalidSwap(swap: Swap): Failure | undefined {
    if (Buffer.byteLength(swap.value) > this.maximumValueBytes) {
      return this.invalid('value is larger than 1 MiB');
    }
    if (swap.leaseId !== undefined && !this.leases.has(swap.leaseId)) {
      return this.invalid('lease is not known');
    }
    return undefined;
  }

  private read(key: string): KeyValue | undefined {
    const stored = this.values.get(key);
    return stored && { key, value: stored.value, revision: stored.revision };
  }

  private write(key: string, value: string, leaseId: string | undefined): void {
    this.revision += 1;
    this.values.set(key, { key, value, revision: this.revision, leaseId });
    this.publish({ key, value, revision: this.revision });
  }

  private erase(key: string): void {
    this.revision += 1;
    this.values.delete(key);
    this.publish({ key, revision: this.revision });
  }

  private publish(change: Change): void {
    this.changes.push(change);
    if (this.changes.length > KEPT_CHANGES) {
      this.forgottenRevision = this.changes[KEPT_CHANGES / 2]?.revision ?? 0;
      this.changes = this.changes.slice(KEPT_CHANGES / 2 + 1);
    }
    this.events.emit('change');
  }

  private expireLeases(): void {
    const nowMs = this.clock.monotonicMs();
    const expired = [...this.leases].filter(([, lease]) => lease.expiresAtMs <= nowMs);
    expired.forEach(([leaseId]) => this.endLease(leaseId));
  }

  private endLease(leaseId: string): void {
    this.leases.delete(leaseId);
    const keys = [...this.values.values()].filter((value) => value.leaseId === leaseId);
    keys.forEach(({ key }) => this.erase(key));
  }

  private nextExpiryMs(): number {
    return Math.min(Infinity, ...[...this.leases.values()].map((lease) => lease.expiresAtMs));
  }

  private hasNews(prefix: string, afterRevision: number): boolean {
    if (afterRevision < this.forgottenRevision) return true;
    return this.changes.some(
      (change) => change.revision > afterRevision && change.key.startsWith(prefix),
    );
  }

  private batchAfter(prefix: string, afterRevision: number): ChangeBatch {
    if (afterRevision < this.forgottenRevision) {
      return { changes: [], revision: this.revision, compacted: true };
    }
    const changes = this.changes.filter(
      (change) => change.revision > afterRevision && change.key.startsWith(prefix),
    );
    return { changes, revision: this.revision, compacted: false };
  }

  private async waitForChange(timeoutMs: number, signal: AbortSignal): Promise<void> {
    const wait = new AbortController();
    const stop = (): void => wait.abort();
    signal.addEventListener('abort', stop);
    const changed = once(this.events, 'change', { signal: wait.signal }).catch(() => undefined);
    await Promise.race([changed, this.clock.sleep(Math.max(1, timeoutMs), wait.signal)]);
    wait.abort();
    signal.removeEventListener('abort', stop);
  }

  private unavailable(step: string, effect: 'not-run' | 'unknown'): Failure {
    return new Failure({
      code: 'unavailable',
      step,
      peer: 'store',
      effect,
      message: 'the store does not answer',
    });
  }

  private overloaded(step: string, retryAfterMs: number): Failure {
    return new Failure({
      code: 'overloaded',
      step,
      peer: 'store',
      effect: 'not-run',
      message: 'the store is at its rate ceiling',
      retryAfterMs,
    });
  }

  private invalid(message: string): Failure {
    return new Failure({
      code: 'invalid',
      step: 'store.swap',
      peer: 'store',
      effect: 'not-run',
      message,
    });
  }
}
