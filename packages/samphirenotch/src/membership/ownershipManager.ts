/**
 * Acquires, keeps and releases the resources of this entry, coordinated with the other entries
 * through the key-value store.
 *
 * A resource is owned by writing its key with compare-and-swap under the entry's single lease. The
 * revision of that write is the epoch (fencing token) of the grant. While the store is down no
 * entry can acquire anything, so grants are kept, but they are no longer certain once the lease may
 * have lapsed.
 */
import { partLog } from '../observability/log.js';
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import type { Clock } from '../time/clock.js';
import type { EntryDirectory } from './entryDirectory.js';
import type { Lease } from './lease.js';
import { LeasedGrant } from './leasedGrant.js';
import type { Grant, Ownership, ResourceHandler } from './ownership.js';
import { OwnerKeys } from './ownerKeys.js';
import { OwnershipPreference } from './ownershipPreference.js';
import { PrefixWatcher } from './prefixWatcher.js';
import type { Session } from './session.js';
import { OWNERS_PREFIX, parseOwnerRecord } from './storeKeys.js';
import { Wakeup } from '../time/wakeup.js';

/** Longest time between two reconciliation passes, in milliseconds. */
const RECONCILE_INTERVAL_MS = 500;

/**
 * Pause before an owner key is tried again after a failed removal or a write with an unknown
 * outcome, in milliseconds.
 */
const KEY_RETRY_MS = 200;

/** Shortest time between two passes that hand resources over for rebalancing, in milliseconds. */
const REBALANCE_INTERVAL_MS = 500;

/** Resources that one pass hands over for rebalancing, at most. */
const MAXIMUM_REBALANCES_PER_PASS = 4;

const log = partLog('ownership');

/** Dependencies of an ownership manager. */
export interface OwnershipParts {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly session: Session;
  readonly directory: EntryDirectory;
  /** Id of this entry. */
  readonly selfId: string;
  /** Start and stop the work on owned resources, one handler for each kind of resource. */
  readonly handlers: readonly ResourceHandler[];
  /** Seed of the jitter of retries. */
  readonly seed: number;
}

/** The owner key of a resource as last read from the store. */
interface OwnedKey {
  /** Id of the owning entry. */
  readonly owner: string;
  /** Store revision of the write that set the owner. */
  readonly revision: number;
}

/** Acquires, keeps, hands over and releases resources of this entry by periodic reconciliation. */
export class OwnershipManager implements Ownership {
  private readonly grants = new Map<string, LeasedGrant>();

  /** Resources with an asynchronous transition in progress. */
  private readonly inTransition = new Set<string>();

  private readonly wakeup: Wakeup;

  private readonly ownerWatcher: PrefixWatcher;

  private readonly ownerKeys: OwnerKeys;

  private readonly preference: OwnershipPreference;

  private isDraining = false;

  private lastRebalanceMs = -Infinity;

  private rebalancedInPass = 0;

  /**
   * @param parts - dependencies
   */
  constructor(private readonly parts: OwnershipParts) {
    const { store, clock, selfId, session, directory, seed } = parts;
    this.wakeup = new Wakeup(clock);
    this.ownerWatcher = new PrefixWatcher(store, clock, OWNERS_PREFIX, seed);
    this.ownerKeys = new OwnerKeys(store, clock, selfId);
    this.preference = new OwnershipPreference(clock, directory, selfId);
    this.ownerWatcher.onChange(() => this.wakeup.wake());
    session.onChange(() => this.wakeup.wake());
    directory.onChange(() => this.wakeup.wake());
  }

  grantOf(resource: string): Grant | undefined {
    return this.grants.get(resource);
  }

  ownerOf(resource: string): string | undefined {
    return this.ownedKeyOf(resource)?.owner;
  }

  /** Triggers a reconciliation pass, for instance because a handler has new resources. */
  wake(): void {
    this.wakeup.wake();
  }

  /**
   * Watches the owner keys and reconciles until the signal aborts.
   *
   * @param signal - ends the loops
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.ownerWatcher.run(signal), this.reconcileRepeatedly(signal)]);
  }

  /**
   * Releases all resources for a planned shutdown and acquires no more.
   *
   * @param signal - aborts the wait for resources that are not yet released
   */
  async drain(signal: AbortSignal): Promise<void> {
    this.isDraining = true;
    await this.parts.directory.leave();
    while (!signal.aborted && (this.grants.size > 0 || this.inTransition.size > 0)) {
      this.reconcile();
      await this.wakeup.wait(RECONCILE_INTERVAL_MS, signal);
    }
  }

  private async reconcileRepeatedly(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.reconcile();
      await this.wakeup.wait(RECONCILE_INTERVAL_MS, signal);
    }
  }

  private reconcile(): void {
    const wanted = this.wantedResources();
    this.rebalancedInPass = 0;
    new Set([...wanted, ...this.grants.keys()]).forEach((resource) => {
      this.endGrantIfLost(resource);
      if (this.inTransition.has(resource)) return;
      const transition = this.nextTransition(resource, wanted.has(resource));
      if (transition) this.perform(resource, transition);
    });
  }

  private wantedResources(): ReadonlySet<string> {
    return new Set(this.parts.handlers.flatMap((handler) => handler.resources()));
  }

  private nextTransition(resource: string, isWanted: boolean): (() => Promise<void>) | undefined {
    const grant = this.grants.get(resource);
    if (grant) return this.transitionWithGrant(grant, isWanted);
    return isWanted ? this.transitionWithoutGrant(resource) : undefined;
  }

  private transitionWithGrant(
    grant: LeasedGrant,
    isWanted: boolean,
  ): (() => Promise<void>) | undefined {
    if (this.isLost(grant)) return () => this.revoke(grant);
    if (this.isDraining || !isWanted) return () => this.handOver(grant);
    if (!this.mayRebalance(grant.resource)) return undefined;
    this.recordRebalance();
    return () => this.handOver(grant);
  }

  private transitionWithoutGrant(resource: string): (() => Promise<void>) | undefined {
    const lease = this.parts.session.current();
    const isReady = this.ownerWatcher.isReady() && this.parts.directory.isRegistered();
    if (!lease?.isCertain() || !isReady) return undefined;
    const key = this.ownedKeyOf(resource);
    if (key && key.owner !== this.parts.selfId) {
      this.preference.recordOwner(resource);
      return undefined;
    }
    if (key) return this.transitionWithOwnKey(resource, key, lease);
    if (this.isDraining || !this.preference.mayAcquire(resource)) return undefined;
    return () => this.acquire(resource, 0, lease);
  }

  /**
   * Handles an owner key that names this entry although it holds no grant. That happens when the
   * response to a write was lost, or a removal has not succeeded yet.
   */
  private transitionWithOwnKey(
    resource: string,
    key: OwnedKey,
    lease: Lease,
  ): (() => Promise<void>) | undefined {
    if (this.ownerLeaseOf(resource) !== lease.id) return undefined;
    if (this.isDraining || !this.preference.isPreferred(resource)) {
      return () => this.releaseKey(resource, key.revision);
    }
    return () => this.acquire(resource, key.revision, lease);
  }

  /** Aborts the signal of a lost grant at once, even while its handler is still starting work. */
  private endGrantIfLost(resource: string): void {
    const grant = this.grants.get(resource);
    if (grant && this.isLost(grant)) grant.end();
  }

  private isLost(grant: LeasedGrant): boolean {
    if (!grant.usesLease(this.parts.session.current())) return true;
    const key = this.ownedKeyOf(grant.resource);
    return key === undefined || key.revision !== grant.epoch;
  }

  private mayRebalance(resource: string): boolean {
    const nowMs = this.parts.clock.monotonicMs();
    const isPaused =
      nowMs < this.lastRebalanceMs + REBALANCE_INTERVAL_MS && this.rebalancedInPass === 0;
    if (isPaused || this.rebalancedInPass >= MAXIMUM_REBALANCES_PER_PASS) return false;
    return this.preference.shouldHandOver(resource);
  }

  private recordRebalance(): void {
    this.rebalancedInPass += 1;
    this.lastRebalanceMs = this.parts.clock.monotonicMs();
  }

  private perform(resource: string, transition: () => Promise<void>): void {
    this.inTransition.add(resource);
    transition()
      .catch((error: unknown) =>
        log.error('A change of ownership failed.', { resource, reason: String(error) }),
      )
      .finally(() => {
        this.inTransition.delete(resource);
        this.wakeup.wake();
      });
  }

  private async acquire(resource: string, expectedRevision: number, lease: Lease): Promise<void> {
    const outcome = await this.ownerKeys.acquire(resource, expectedRevision, lease);
    if (outcome.kind === 'unknown') {
      await this.parts.clock.sleep(KEY_RETRY_MS, lease.signal);
      return;
    }
    const key = `${OWNERS_PREFIX}${resource}`;
    if (outcome.revision !== undefined) {
      this.ownerWatcher.applyConfirmed({ key, value: outcome.value, revision: outcome.revision });
    }
    if (outcome.kind === 'lost') return;
    const grant = new LeasedGrant(resource, outcome.revision, lease);
    this.grants.set(resource, grant);
    this.preference.recordAcquisition(resource);
    log.info('A resource was acquired.', { resource, epoch: grant.epoch });
    await this.handlerOf(resource)?.take(grant);
  }

  private async handOver(grant: LeasedGrant): Promise<void> {
    const { resource, epoch } = grant;
    await this.handlerOf(resource)?.release(resource);
    this.dropGrant(grant);
    log.info('A resource is handed over.', { resource, epoch });
    await this.releaseKey(resource, epoch);
  }

  private async releaseKey(resource: string, revision: number): Promise<void> {
    const isReleased = await this.ownerKeys.release(resource, revision);
    const key = `${OWNERS_PREFIX}${resource}`;
    if (isReleased) this.ownerWatcher.applyConfirmed({ key, revision });
    else await this.parts.clock.sleep(KEY_RETRY_MS);
  }

  private async revoke(grant: LeasedGrant): Promise<void> {
    const { resource, epoch } = grant;
    log.warn('A resource was lost.', { resource, epoch });
    grant.end();
    await this.handlerOf(resource)?.release(resource);
    this.dropGrant(grant);
  }

  private dropGrant(grant: LeasedGrant): void {
    grant.end();
    this.grants.delete(grant.resource);
  }

  private ownedKeyOf(resource: string): OwnedKey | undefined {
    const item = this.ownerWatcher.keyValues().get(`${OWNERS_PREFIX}${resource}`);
    const record = item && parseOwnerRecord(item.value);
    return item && record && { owner: record.owner, revision: item.revision };
  }

  private ownerLeaseOf(resource: string): string | undefined {
    const item = this.ownerWatcher.keyValues().get(`${OWNERS_PREFIX}${resource}`);
    return item && parseOwnerRecord(item.value)?.lease;
  }

  private handlerOf(resource: string): ResourceHandler | undefined {
    const kind = resource.split('/')[0];
    return this.parts.handlers.find((handler) => handler.kind === kind);
  }
}
