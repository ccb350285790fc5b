/**
 * Starts and stops managing shards as this entry acquires and releases their ownership.
 */
import type { Grant, ResourceHandler } from '../membership/ownership.js';
import { ShardOwner } from './shardOwner.js';
import type { ShardParts } from './shardParts.js';
import type { WorkerList } from './workerList.js';

/** Holds the shards that this entry owns. */
export class ShardHandler implements ResourceHandler {
  readonly kind = 'shard';

  private readonly ownersByShard = new Map<string, ShardOwner>();

  private readonly roomFreedListeners: (() => void)[] = [];

  /**
   * @param parts - dependencies that all shards share
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
   * Finds an owned shard.
   *
   * @param shard - resource name of the shard
   * @returns its owner object, `undefined` if this entry does not own the shard
   */
  ownerOf(shard: string): ShardOwner | undefined {
    return this.ownersByShard.get(shard);
  }

  /**
   * Lists the shards that this entry owns.
   *
   * @returns one owner object per shard
   */
  owners(): readonly ShardOwner[] {
    return [...this.ownersByShard.values()];
  }

  /**
   * Registers a listener that is called when request slots or room may have become free.
   *
   * @param listener - called without arguments
   */
  onRoomFreed(listener: () => void): void {
    this.roomFreedListeners.push(listener);
  }

  /** Notifies the listeners that request slots or room may have become free. */
  notifyRoomFreed(): void {
    this.roomFreedListeners.forEach((listener) => listener());
  }

  private updateListings(): void {
    this.ownersByShard.forEach((owner, shard) => owner.updateListings(this.list.workersOf(shard)));
  }
}
