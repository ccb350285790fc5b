/**
 * The owner of one shard: the only one that places anything on its workers.
 */
import { dataCentreOf } from '../membership/rendezvous.js';
import type { Grant } from '../membership/ownership.js';
import type { WorkerListing } from '../infrastructure/vmList.js';
import { Placement } from './placement.js';
import type { ShardParts } from './shardParts.js';
import type { PlacementOutcome, PlacementRequest } from './shardService.js';
import { makeShardWorker, type ShardWorker } from './shardWorker.js';

/** Holds the workers of one shard. */
export class ShardOwner {
  private readonly workersById = new Map<string, ShardWorker>();

  private readonly controller = new AbortController();

  private readonly loops: Promise<void>[] = [];

  private readonly placement: Placement;

  /**
   * @param parts - what all shards share
   * @param grant - the right to own the shard
   * @param onRoomFreed - called when slots or room may have become free
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
   * Workers of the shard.
   *
   * @returns all that are held, open or not
   */
  workers(): readonly ShardWorker[] {
    return [...this.workersById.values()];
  }

  /**
   * Finds a worker.
   *
   * @param workerId - the worker
   * @returns the worker, if the shard holds it
   */
  worker(workerId: string): ShardWorker | undefined {
    return this.workersById.get(workerId);
  }

  /**
   * Takes in the workers that the platform lists for the shard.
   *
   * @param listings - its workers
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
   * Tells whether unlisted workers still hold work.
   *
   * @returns true if the shard cannot be given up yet
   */
  hasWork(): boolean {
    return this.workers().some(({ owned }) => owned.attempts.size > 0);
  }

  /**
   * Sets room aside for an attempt.
   *
   * @param request - what is to be placed
   * @returns the reservation, or why there is none
   */
  reserve(request: PlacementRequest): PlacementOutcome {
    if (this.controller.signal.aborted) return { kind: 'refused', reason: 'no-room-now' };
    return this.placement.reserve(request, this.workers());
  }

  /** Ends work on the shard; after it resolves another owner may begin at once. */
  async close(): Promise<void> {
    this.controller.abort();
    this.workersById.forEach(({ owned }) => owned.refuseNewWork());
    await Promise.all(this.workers().map(({ startCommands }) => startCommands.waitForStarts()));
    this.workersById.forEach(({ controller }) => controller.abort());
    await Promise.all(this.loops);
    this.workersById.forEach(({ owned }) => owned.retire());
  }

  private addWorker(listing: WorkerListing): void {
    const made = makeShardWorker(this.parts, listing, this.grant, this.onRoomFreed);
    this.workersById.set(listing.id, made);
    this.loops.push(made.loop.run(made.controller.signal));
  }

  /**
   * A worker that is not listed, or listed elsewhere, is dropped once it is silent and holds nothing.
   * The list may be wrong: while the worker answers where it was, it stays.
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
