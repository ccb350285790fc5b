/**
 * A worker of an owned shard, with its command senders and its heartbeat loop.
 */
import type { Grant } from '../membership/ownership.js';
import type { WorkerListing } from '../infrastructure/vmList.js';
import { AttemptReporter } from './attemptReporter.js';
import { StartCommands } from './startCommands.js';
import { StopCommands } from './stopCommands.js';
import { OwnedWorker } from './ownedWorker.js';
import type { ShardParts } from './shardParts.js';
import { SendGuard } from './sendGuard.js';
import { WorkerLoop } from './workerLoop.js';

/** The objects through which the owner of a shard manages one worker. */
export interface ShardWorker {
  readonly owned: OwnedWorker;
  readonly startCommands: StartCommands;
  readonly stopCommands: StopCommands;
  readonly reporter: AttemptReporter;
  readonly loop: WorkerLoop;
  /** Aborting it ends the loop. */
  readonly controller: AbortController;
}

/**
 * Creates the objects that manage one worker.
 *
 * @param parts - dependencies that all shards share
 * @param listing - the worker as the platform lists it
 * @param grant - ownership of the shard
 * @param onRoomFreed - called when request slots or room may have become free
 * @returns the worker; its loop is not running yet
 */
export const makeShardWorker = (
  parts: ShardParts,
  listing: WorkerListing,
  grant: Grant,
  onRoomFreed: () => void,
): ShardWorker => {
  const { clock, configuration, sizes, sink, directory } = parts;
  const worker = directory.connect(listing.id, listing.address);
  const owned = new OwnedWorker(listing, worker, grant, clock);
  const stopCommands = new StopCommands(owned, clock);
  const startCommands = new StartCommands(owned, stopCommands, new SendGuard(configuration), clock);
  const reporter = new AttemptReporter(sink, clock, listing.id, grant.resource);
  const loop = new WorkerLoop({
    owned,
    stopCommands,
    reporter,
    configuration,
    sizes,
    clock,
    onRoomFreed,
  });
  return { owned, startCommands, stopCommands, reporter, loop, controller: new AbortController() };
};
