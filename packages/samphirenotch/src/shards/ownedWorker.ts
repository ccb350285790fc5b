/**
 * State of one worker, as the owner of its shard tracks it.
 */
import type { Failure } from '../failure.js';
import type { Grant } from '../membership/ownership.js';
import type { WorkerListing } from '../infrastructure/vmList.js';
import type { Worker } from '../infrastructure/worker.js';
import type { Clock } from '../time/clock.js';
import { LatencyGauge } from './latencyGauge.js';
import { CapacityLedger } from './capacityLedger.js';
import { START_TIMEOUT_MS, TASK_LEASE_MARGIN_MS } from './taskLease.js';
import type { TrackedAttempt } from './trackedAttempt.js';

/** A worker that has not answered for longer than this counts as silent, in milliseconds. */
const SILENT_AFTER_MS = 2500;

/** A worker to which this entry may send commands while it owns the shard. */
export class OwnedWorker {
  readonly ledger: CapacityLedger;

  /** Attempts at the worker, by attempt id. */
  readonly attempts = new Map<string, TrackedAttempt>();

  /** Latency of requests at the worker, relative to their targets. */
  readonly latency = new LatencyGauge();

  /** Task classes of the requests that the worker has answered. */
  readonly requestClasses = new Set<string>();

  /** Address to which this entry connected; later listings do not change it. */
  readonly address: string;

  private readonly ownedSinceMs: number;

  private isListed = true;

  /** Whether the worker itself last reported that it is leaving. */
  private saysLeaving = false;

  private isFenced = false;

  private hasClaim = false;

  private refusesNewWork = false;

  private isRetired = false;

  private answeredAtMs: number;

  /** Monotonic time at which the request for the latest inventory was sent. */
  private inventoryAtMs = -Infinity;

  /**
   * @param listing - the worker as the platform lists it
   * @param worker - connection for commands to the worker
   * @param grant - ownership of the shard, with its epoch
   * @param clock - measures how long the worker has been silent
   */
  constructor(
    private listing: WorkerListing,
    readonly worker: Worker,
    readonly grant: Grant,
    private readonly clock: Clock,
  ) {
    this.ledger = new CapacityLedger(listing.capacity, listing.slots);
    this.address = listing.address;
    this.ownedSinceMs = clock.monotonicMs();
    this.answeredAtMs = this.ownedSinceMs;
  }

  get id(): string {
    return this.listing.id;
  }

  get listed(): WorkerListing {
    return this.listing;
  }

  /**
   * Tells whether commands may be sent now. An owner that cannot renew its ownership may go on only
   * if the worker itself refuses commands with an older epoch (fencing).
   *
   * @returns true if commands may be sent
   */
  mayCommand(): boolean {
    if (this.isFenced || this.grant.signal.aborted) return false;
    return this.worker.guarantees.refusesOlderEpochs || this.grant.isCertain();
  }

  /**
   * Tells whether new work may be sent to the worker now.
   *
   * @returns true if it may
   */
  acceptsNewWork(): boolean {
    return this.mayCommand() && this.isInventoryComplete() && !this.isLeaving() && !this.isSilent();
  }

  /**
   * Tells whether the ledger counts everything that the worker holds: an inventory was received
   * under this epoch, and no command of an earlier owner can still arrive.
   *
   * @returns true if the ledger is complete
   */
  isInventoryComplete(): boolean {
    if (!this.hasClaim || this.refusesNewWork) return false;
    if (this.worker.guarantees.refusesOlderEpochs) return true;
    return this.inventoryAtMs >= this.ownedSinceMs + START_TIMEOUT_MS + TASK_LEASE_MARGIN_MS;
  }

  /**
   * Tells whether only this owner can have renewed the attempts that it tracks: it claimed the
   * worker before it tracked any of them, and no other owner can have claimed the worker since.
   *
   * @returns true if an expired lease proves that the attempt no longer runs
   */
  isSoleRenewer(): boolean {
    return this.grant.isCertain() && !this.isFenced;
  }

  isClaimed(): boolean {
    return this.hasClaim;
  }

  isLeaving(): boolean {
    return this.saysLeaving || this.listing.leaving || !this.isListed;
  }

  isSilent(): boolean {
    return this.clock.monotonicMs() - this.answeredAtMs > SILENT_AFTER_MS;
  }

  /**
   * Updates the listing of the worker.
   *
   * @param listing - the platform's listing, `undefined` if the worker is no longer listed
   */
  updateListing(listing: WorkerListing | undefined): void {
    this.isListed = listing !== undefined;
    if (listing) this.listing = listing;
  }

  /**
   * Records that the worker answered with an inventory.
   *
   * @param sentAtMs - monotonic time at which the request was sent
   * @param leaving - whether the worker reports that it is leaving
   */
  recordInventory(sentAtMs: number, leaving: boolean): void {
    this.answeredAtMs = this.clock.monotonicMs();
    this.inventoryAtMs = Math.max(this.inventoryAtMs, sentAtMs);
    this.saysLeaving = leaving;
    if (this.isInventoryComplete()) this.ledger.markComplete();
  }

  /**
   * Removes an attempt that is proven not to run any more or was never started, and frees its room.
   *
   * @param attemptId - the attempt
   */
  forget(attemptId: string): void {
    this.attempts.delete(attemptId);
    this.ledger.remove(attemptId);
  }

  /** Records that the worker was claimed under this epoch. */
  markClaimed(): void {
    this.hasClaim = true;
  }

  /** Records that the claim was lost: the worker counts as full until it is claimed again. */
  markUnclaimed(): void {
    this.hasClaim = false;
    this.ledger.markIncomplete();
  }

  /**
   * Records a failed command; a stale epoch means that another owner has claimed the worker.
   *
   * @param failure - the failure
   */
  recordFailure(failure: Failure): void {
    if (failure.code === 'stale-epoch') this.fence();
  }

  /** Records that an owner with a higher epoch claimed the worker: no command is sent any more. */
  fence(): void {
    this.isFenced = true;
    this.ledger.markIncomplete();
  }

  /** Stops giving new work to the worker; requests and attempts in progress may finish. */
  refuseNewWork(): void {
    this.refusesNewWork = true;
    this.ledger.markIncomplete();
  }

  /** Ends the use of the worker; its connections close once this owner holds no request slot. */
  retire(): void {
    this.refuseNewWork();
    this.isRetired = true;
    this.closeIfIdle();
  }

  /** Closes the connections of a retired worker when its last slot is released. */
  onSlotReleased(): void {
    if (this.isRetired) this.closeIfIdle();
  }

  private closeIfIdle(): void {
    if (this.ledger.heldSlots() > 0) return;
    this.worker.close().catch(() => undefined);
  }
}
