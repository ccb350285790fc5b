/**
 * State of one worker at the owner of its shard.
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

/** A worker counts as silent when it has not answered for this long, in milliseconds. */
const SILENT_AFTER_MS = 2500;

/** A worker that this entry may command while it owns the shard. */
export class OwnedWorker {
  readonly ledger: CapacityLedger;

  readonly attempts = new Map<string, TrackedAttempt>();

  /** How late requests are there. */
  readonly latency = new LatencyGauge();

  /** Classes of requests that were answered there. */
  readonly requestClasses = new Set<string>();

  /** Where it was reached first. */
  readonly address: string;

  private readonly ownedSinceMs: number;

  private isListed = true;

  private saysLeaving = false;

  private isFenced = false;

  private hasClaim = false;

  private refusesNewWork = false;

  private isRetired = false;

  private answeredAtMs: number;

  /** When the request was sent whose answer was the last inventory. */
  private inventoryAtMs = -Infinity;

  /**
   * @param listing - the worker as the platform lists it
   * @param worker - its commands
   * @param grant - the right to command it
   * @param clock - measures silence
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
   * Tells whether commands may be sent now. An owner that cannot renew goes on only where the
   * worker itself refuses whoever was replaced.
   *
   * @returns true if the worker may be commanded
   */
  mayCommand(): boolean {
    if (this.isFenced || this.grant.signal.aborted) return false;
    return this.worker.offer.refusesOlderEpochs || this.grant.isCertain();
  }

  /**
   * Tells whether the worker may be given new work now.
   *
   * @returns true if it may
   */
  acceptsNewWork(): boolean {
    return this.mayCommand() && this.isInventoryComplete() && !this.isLeaving() && !this.isSilent();
  }

  /**
   * Tells whether the ledger counts all that the worker holds: an inventory was taken under this
   * epoch, and no command of an earlier owner can still arrive.
   *
   * @returns true if it does
   */
  isInventoryComplete(): boolean {
    if (!this.hasClaim || this.refusesNewWork) return false;
    if (this.worker.offer.refusesOlderEpochs) return true;
    return this.inventoryAtMs >= this.ownedSinceMs + START_TIMEOUT_MS + TASK_LEASE_MARGIN_MS;
  }

  /**
   * Tells whether only this owner can have renewed the attempts that it tracks: it claimed the worker
   * before it tracked any, and nobody can have claimed it since.
   *
   * @returns true if leases may be concluded to have lapsed
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
   * Takes in what the platform lists.
   *
   * @param listing - the listing, nothing if the worker is not listed any more
   */
  updateListing(listing: WorkerListing | undefined): void {
    this.isListed = listing !== undefined;
    if (listing) this.listing = listing;
  }

  /**
   * Notes an answer with an inventory.
   *
   * @param sentAtMs - monotonic time at which the request was sent
   * @param leaving - whether the worker says that it is leaving
   */
  recordInventory(sentAtMs: number, leaving: boolean): void {
    this.answeredAtMs = this.clock.monotonicMs();
    this.inventoryAtMs = Math.max(this.inventoryAtMs, sentAtMs);
    this.saysLeaving = leaving;
    if (this.isInventoryComplete()) this.ledger.markComplete();
  }

  /**
   * Frees the room of an attempt that surely runs no more, or was never started.
   *
   * @param attemptId - the attempt
   */
  forget(attemptId: string): void {
    this.attempts.delete(attemptId);
    this.ledger.remove(attemptId);
  }

  /** Notes that the worker was claimed under this epoch. */
  markClaimed(): void {
    this.hasClaim = true;
  }

  /** Counts the worker as full until it is claimed again. */
  markUnclaimed(): void {
    this.hasClaim = false;
    this.ledger.markIncomplete();
  }

  /**
   * Draws conclusions from a failed command.
   *
   * @param failure - the failure
   */
  recordFailure(failure: Failure): void {
    if (failure.code === 'stale-epoch') this.fence();
  }

  /** Notes that another owner with a higher epoch has the worker: nothing is sent to it any more. */
  fence(): void {
    this.isFenced = true;
    this.ledger.markIncomplete();
  }

  /** Gives out nothing more; what is under way may end. */
  refuseNewWork(): void {
    this.refusesNewWork = true;
    this.ledger.markIncomplete();
  }

  /** Ends the use of the worker; its connections close when no request is in progress here. */
  retire(): void {
    this.refuseNewWork();
    this.isRetired = true;
    this.closeIfIdle();
  }

  /** Takes note of a released slot. */
  onSlotReleased(): void {
    if (this.isRetired) this.closeIfIdle();
  }

  private closeIfIdle(): void {
    if (this.ledger.heldSlots() > 0) return;
    this.worker.close().catch(() => undefined);
  }
}
