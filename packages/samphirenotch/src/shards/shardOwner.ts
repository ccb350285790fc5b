/**
 * The owner of one shard: the only one that places anything on its workers.
 */
import { dataCentreOf } from '../membership/rendezvous.js';
import type { Grant } from '../membership/ownership.js';
import type { WorkerListing } from '../infrastructure/vmList.js';
import { Placement } from './placement.js';
import type { ShardParts } from './shardParts.js';
import type { PlacementOutcome, PlacementWish } from './shardService.js';
import { makeShardWorker, type ShardWorker } from './shardWorker.js';

/** Holds the workers of one shard. */
export class ShardOwner {
  private readonly held = new Map<string, ShardWorker>();

  private readonly controller = new AbortController();

  private readonly loops: Promise<void>[] = [];

  private readonly placement: Placement;

  /**
   * @param parts - what all shards share
   * @param grant - the right to own the shard
   * @param onRoom - called when slots or room may have become free
   */
  constructor(
    private readonly parts: ShardParts,
    readonly grant: Grant,
    private readonly onRoom: () => void,
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
    return [...this.held.values()];
  }

  /**
   * Finds a worker.
   *
   * @param workerId - the worker
   * @returns the worker, if the shard holds it
   */
  worker(workerId: string): ShardWorker | undefined {
    return this.held.get(workerId);
  }

  /**
   * Takes in the workers that the platform lists for the shard.
   *
   * @param listings - its workers
   */
  relist(listings: readonly WorkerListing[]): void {
    if (this.controller.signal.aborted) return;
    const byId = new Map(listings.map((listing) => [listing.id, listing]));
    this.held.forEach(({ owned }) => owned.relist(byId.get(owned.id)));
    this.dropVanished(byId);
    listings.filter(({ id }) => !this.held.has(id)).forEach((listing) => this.hold(listing));
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
   * @param wish - what is to be placed
   * @returns the reservation, or why there is none
   */
  reserve(wish: PlacementWish): PlacementOutcome {
    if (this.controller.signal.aborted) return { kind: 'refused', reason: 'no-room-now' };
    return this.placement.reserve(wish, this.workers());
  }

  /** Ends work on the shard; after it resolves another owner may begin at once. */
  async close(): Promise<void> {
    this.controller.abort();
    this.held.forEach(({ owned }) => owned.stopGranting());
    await Promise.all(this.workers().map(({ starts }) => starts.settle()));
    this.held.forEach(({ controller }) => controller.abort());
    await Promise.all(this.loops);
    this.held.forEach(({ owned }) => owned.retire());
  }

  private hold(listing: WorkerListing): void {
    const made = makeShardWorker(this.parts, listing, this.grant, this.onRoom);
    this.held.set(listing.id, made);
    this.loops.push(made.loop.run(made.controller.signal));
  }

  /**
   * A worker that is not listed, or listed elsewhere, is dropped once it is silent and holds nothing.
   * The list may be wrong: while the worker answers where it was, it stays.
   */
  private dropVanished(listed: ReadonlyMap<string, WorkerListing>): void {
    this.workers().forEach(({ owned, controller }) => {
      const isWhereItWas = listed.get(owned.id)?.address === owned.address;
      const isInUse = owned.attempts.size > 0 || owned.ledger.heldSlots() > 0;
      if (isWhereItWas || isInUse || !owned.isSilent()) return;
      controller.abort();
      owned.retire();
      this.held.delete(owned.id);
    });
  }
}
