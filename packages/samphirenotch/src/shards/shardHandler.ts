/**
 * Begins and ends work on shards as this entry acquires and gives them up.
 */
import type { Grant, ResourceHandler } from '../membership/ownership.js';
import { ShardOwner } from './shardOwner.js';
import type { ShardParts } from './shardParts.js';
import type { WorkerList } from './workerList.js';

/** The shards owned by this entry. */
export class ShardHandler implements ResourceHandler {
  readonly kind = 'shard';

  private readonly ownersByShard = new Map<string, ShardOwner>();

  private readonly roomFreedListeners: (() => void)[] = [];

  /**
   * @param parts - what all shards share
   * @param list - the platform's list of workers
   */
  constructor(
    private readonly parts: ShardParts,
    private readonly list: WorkerList,
  ) {
    list.onChange(() => this.updateListings());
  }

  resources(): readonly string[] {
    const busy = this.owners().filter((owner) => owner.hasWork());
    return [...new Set([...this.list.shardNames(), ...busy.map(({ shard }) => shard)])];
  }

  take(grant: Grant): Promise<void> {
    const owner = new ShardOwner(this.parts, grant, () => this.notifyRoomFreed());
    this.ownersByShard.set(grant.resource, owner);
    owner.updateListings(this.list.workersOf(grant.resource));
    return Promise.resolve();
  }

  async release(resource: string): Promise<void> {
    const owner = this.ownersByShard.get(resource);
    if (!owner) return;
    this.ownersByShard.delete(resource);
    await owner.close();
  }

  /**
   * Finds the owner of a shard.
   *
   * @param shard - the shard
   * @returns the owner, if this entry owns it
   */
  ownerOf(shard: string): ShardOwner | undefined {
    return this.ownersByShard.get(shard);
  }

  /**
   * Shards owned here.
   *
   * @returns their owners
   */
  owners(): readonly ShardOwner[] {
    return [...this.ownersByShard.values()];
  }

  /**
   * Calls back when slots or room may have become free.
   *
   * @param listener - called without arguments
   */
  onRoomFreed(listener: () => void): void {
    this.roomFreedListeners.push(listener);
  }

  /** Says that slots or room may have become free. */
  notifyRoomFreed(): void {
    this.roomFreedListeners.forEach((listener) => listener());
  }

  private updateListings(): void {
    this.ownersByShard.forEach((owner, shard) => owner.updateListings(this.list.workersOf(shard)));
  }
}
