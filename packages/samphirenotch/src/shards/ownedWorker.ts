/**
 * State of one worker at the owner of its shard.
 */
import type { Failure } from '../failure.js';
import type { Grant } from '../membership/ownership.js';
import type { WorkerListing } from '../infrastructure/vmList.js';
import type { Worker } from '../infrastructure/worker.js';
import type { Clock } from '../time/clock.js';
import { LatencyGauge } from './latencyGauge.js';
import { Ledger } from './ledger.js';
import { START_TIMEOUT_MS, TASK_LEASE_DRIFT_MS } from './taskLease.js';
import type { TrackedAttempt } from './trackedAttempt.js';

/** A worker counts as silent when it has not answered for this long, in milliseconds. */
const SILENCE_MS = 2500;

/** A worker that this entry may command while it owns the shard. */
export class OwnedWorker {
  readonly ledger: Ledger;

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

  private claimed = false;

  private retired = false;

  private isOver = false;

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
    this.ledger = new Ledger(listing.capacity, listing.slots);
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
  isOpen(): boolean {
    return this.mayCommand() && this.isExact() && !this.isLeaving() && !this.isSilent();
  }

  /**
   * Tells whether the ledger counts all that the worker holds: an inventory was taken under this
   * epoch, and no command of an earlier owner can still arrive.
   *
   * @returns true if it does
   */
  isExact(): boolean {
    if (!this.claimed || this.retired) return false;
    if (this.worker.offer.refusesOlderEpochs) return true;
    return this.inventoryAtMs >= this.ownedSinceMs + START_TIMEOUT_MS + TASK_LEASE_DRIFT_MS;
  }

  /**
   * Tells whether only this owner can have renewed the attempts that it tracks: it claimed the worker
   * before it tracked any, and nobody can have claimed it since.
   *
   * @returns true if leases may be concluded to have lapsed
   */
  mayConcludeLapse(): boolean {
    return this.grant.isCertain() && !this.isFenced;
  }

  isClaimed(): boolean {
    return this.claimed;
  }

  isLeaving(): boolean {
    return this.saysLeaving || this.listing.leaving || !this.isListed;
  }

  isSilent(): boolean {
    return this.clock.monotonicMs() - this.answeredAtMs > SILENCE_MS;
  }

  /**
   * Takes in what the platform lists.
   *
   * @param listing - the listing, nothing if the worker is not listed any more
   */
  relist(listing: WorkerListing | undefined): void {
    this.isListed = listing !== undefined;
    if (listing) this.listing = listing;
  }

  /**
   * Notes an answer with an inventory.
   *
   * @param sentAtMs - monotonic time at which the request was sent
   * @param leaving - whether the worker says that it is leaving
   */
  answered(sentAtMs: number, leaving: boolean): void {
    this.answeredAtMs = this.clock.monotonicMs();
    this.inventoryAtMs = Math.max(this.inventoryAtMs, sentAtMs);
    this.saysLeaving = leaving;
    if (this.isExact()) this.ledger.open();
  }

  /**
   * Frees the room of an attempt that surely runs no more, or was never started.
   *
   * @param attemptId - the attempt
   */
  forget(attemptId: string): void {
    this.attempts.delete(attemptId);
    this.ledger.free(attemptId);
  }

  /** Notes that the worker was claimed under this epoch. */
  claim(): void {
    this.claimed = true;
  }

  /** Counts the worker as full until it is claimed again. */
  unclaim(): void {
    this.claimed = false;
    this.ledger.close();
  }

  /**
   * Draws conclusions from a failed command.
   *
   * @param failure - the failure
   */
  learnFailure(failure: Failure): void {
    if (failure.code === 'stale-epoch') this.fence();
  }

  /** Notes that another owner with a higher epoch has the worker: nothing is sent to it any more. */
  fence(): void {
    this.isFenced = true;
    this.ledger.close();
  }

  /** Gives out nothing more; what is under way may end. */
  stopGranting(): void {
    this.retired = true;
    this.ledger.close();
  }

  /** Ends the use of the worker; its connections close when no request is in progress here. */
  retire(): void {
    this.stopGranting();
    this.isOver = true;
    this.closeIfIdle();
  }

  /** Takes note of a released slot. */
  slotReleased(): void {
    if (this.isOver) this.closeIfIdle();
  }

  private closeIfIdle(): void {
    if (this.ledger.heldSlots() > 0) return;
    this.worker.close().catch(() => undefined);
  }
}
