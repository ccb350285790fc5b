/**
 * The owner of one shard. Only the owner places attempts and requests on the shard's workers.
 */
import { dataCentreOf } from '../membership/rendezvous.js';
import type { Grant } from '../membership/ownership.js';
import type { WorkerListing } from '../infrastructure/vmList.js';
import { Placement } from './placement.js';
import type { ShardParts } from './shardParts.js';
import type { PlacementOutcome, PlacementRequest } from './shardService.js';
import { makeShardWorker, type ShardWorker } from './shardWorker.js';

/** Manages the workers of one owned shard. */
export class ShardOwner {
  private readonly workersById = new Map<string, ShardWorker>();

  private readonly controller = new AbortController();

  private readonly loops: Promise<void>[] = [];

  private readonly placement: Placement;

  /**
   * @param parts - dependencies that all shards share
   * @param grant - ownership of the shard
   * @param onRoomFreed - called when request slots or room may have become free
   */
  constructor(
    private readonly parts: ShardParts,
    readonly grant: Grant,
    private readonly onRoomFreed: () => void,
  ) {
    this.placement = new Placement(parts, grant);
  }

  get shard(): string {
    return this.grant.resource;
  }

  get dataCentre(): string {
    return dataCentreOf(this.shard);
  }

  /**
   * Lists the workers of the shard.
   *
   * @returns all workers, also those that accept no new work
   */
  workers(): readonly ShardWorker[] {
    return [...this.workersById.values()];
  }

  /**
   * Finds a worker of the shard.
   *
   * @param workerId - id of the worker
   * @returns the worker, `undefined` if it is not in the shard
   */
  worker(workerId: string): ShardWorker | undefined {
    return this.workersById.get(workerId);
  }

  /**
   * Updates the workers from the platform's list.
   *
   * @param listings - workers that the platform lists for the shard
   */
  updateListings(listings: readonly WorkerListing[]): void {
    if (this.controller.signal.aborted) return;
    const byId = new Map(listings.map((listing) => [listing.id, listing]));
    this.workersById.forEach(({ owned }) => owned.updateListing(byId.get(owned.id)));
    this.dropUnlisted(byId);
    listings
      .filter(({ id }) => !this.workersById.has(id))
      .forEach((listing) => this.addWorker(listing));
  }

  /**
   * Tells whether any worker still holds attempts, even if it is no longer listed.
   *
   * @returns true if the shard must still be owned
   */
  hasWork(): boolean {
    return this.workers().some(({ owned }) => owned.attempts.size > 0);
  }

  /**
   * Reserves room for an attempt.
   *
   * @param request - the attempt to place
   * @returns the reservation, or the reason why nothing was reserved
   */
  reserve(request: PlacementRequest): PlacementOutcome {
    if (this.controller.signal.aborted) return { kind: 'refused', reason: 'no-room-now' };
    return this.placement.reserve(request, this.workers());
  }

  /** Stops managing the shard. Once it resolves, another owner may take over immediately. */
  async close(): Promise<void> {
    this.controller.abort();
    this.workersById.forEach(({ owned }) => owned.refuseNewWork());
    await Promise.all(this.workers().map(({ startCommands }) => startCommands.waitForStarts()));
    this.workersById.forEach(({ controller }) => controller.abort());
    await Promise.all(this.loops);
    this.workersById.forEach(({ owned }) => owned.retire());
  }

  private addWorker(listing: WorkerListing): void {
    const shardWorker = makeShardWorker(this.parts, listing, this.grant, this.onRoomFreed);
    this.workersById.set(listing.id, shardWorker);
    this.loops.push(shardWorker.loop.run(shardWorker.controller.signal));
  }

  /**
   * Removes workers that are not listed, or are listed at another address, once they are silent and
   * hold no attempt or request. The list may be wrong, so a worker that still answers is kept.
   */
  private dropUnlisted(listed: ReadonlyMap<string, WorkerListing>): void {
    this.workers().forEach(({ owned, controller }) => {
      const isAtSameAddress = listed.get(owned.id)?.address === owned.address;
      const isInUse = owned.attempts.size > 0 || owned.ledger.heldSlots() > 0;
      if (isAtSameAddress || isInUse || !owned.isSilent()) return;
      controller.abort();
      owned.retire();
      this.workersById.delete(owned.id);
    });
  }
}
