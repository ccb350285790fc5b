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

  private readonly owners = new Map<string, ShardOwner>();

  private readonly roomListeners: (() => void)[] = [];

  /**
   * @param parts - what all shards share
   * @param list - the platform's list of workers
   */
  constructor(
    private readonly parts: ShardParts,
    private readonly list: WorkerList,
  ) {
    list.onChange(() => this.relist());
  }

  resources(): readonly string[] {
    const busy = this.owned().filter((owner) => owner.hasWork());
    return [...new Set([...this.list.shardNames(), ...busy.map(({ shard }) => shard)])];
  }

  take(grant: Grant): Promise<void> {
    const owner = new ShardOwner(this.parts, grant, () => this.announceRoom());
    this.owners.set(grant.resource, owner);
    owner.relist(this.list.workersOf(grant.resource));
    return Promise.resolve();
  }

  async release(resource: string): Promise<void> {
    const owner = this.owners.get(resource);
    if (!owner) return;
    this.owners.delete(resource);
    await owner.close();
  }

  /**
   * Finds the owner of a shard.
   *
   * @param shard - the shard
   * @returns the owner, if this entry owns it
   */
  ownerOf(shard: string): ShardOwner | undefined {
    return this.owners.get(shard);
  }

  /**
   * Shards owned here.
   *
   * @returns their owners
   */
  owned(): readonly ShardOwner[] {
    return [...this.owners.values()];
  }

  /**
   * Calls back when slots or room may have become free.
   *
   * @param listener - called without arguments
   */
  onRoom(listener: () => void): void {
    this.roomListeners.push(listener);
  }

  /** Says that slots or room may have become free. */
  announceRoom(): void {
    this.roomListeners.forEach((listener) => listener());
  }

  private relist(): void {
    this.owners.forEach((owner, shard) => owner.relist(this.list.workersOf(shard)));
  }
}
