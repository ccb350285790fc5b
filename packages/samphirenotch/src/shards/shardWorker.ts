/**
 * A worker of an owned shard with its commands and its loop.
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

/** A worker as its shard's owner holds it. */
export interface ShardWorker {
  readonly owned: OwnedWorker;
  readonly startCommands: StartCommands;
  readonly stopCommands: StopCommands;
  readonly reporter: AttemptReporter;
  readonly loop: WorkerLoop;
  /** Ends the loop. */
  readonly controller: AbortController;
}

/**
 * Puts the parts of a worker together.
 *
 * @param parts - what all shards share
 * @param listing - the worker as listed
 * @param grant - the right to command it
 * @param onRoomFreed - called when slots or room may have become free
 * @returns the worker, its loop not yet running
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
