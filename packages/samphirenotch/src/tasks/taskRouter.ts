/**
 * Routes commands and queries to the owner of a partition: this entry or a peer.
 */
import { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import type { Clock } from '../time/clock.js';
import { partitionOfJob } from './jobId.js';
import { LocalTaskCommands } from './localTaskCommands.js';
import { LocalTaskQueries } from './localTaskQueries.js';
import type { PartitionHandler } from './partitionHandler.js';
import { RemoteTaskCommands } from './remoteTaskCommands.js';
import { RemoteTaskQueries } from './remoteTaskQueries.js';
import type { TaskContext } from './taskContext.js';
import { notOwned } from './taskFailure.js';
import type { TaskCommands, TaskQueries } from './taskOperations.js';
import type { TaskPeers } from './taskPeers.js';

const STEP = 'tasks.route';

/** Commands and queries at the owner of one partition. */
export interface TaskRoute {
  readonly commands: TaskCommands;
  readonly queries: TaskQueries;
}

/** Finds the route to the owner of a partition. */
export class TaskRouter {
  private readonly clock: Clock;

  /**
   * @param context - components of the entry
   * @param handler - partitions that this entry owns
   * @param peers - owners of the other partitions
   */
  constructor(
    private readonly context: TaskContext,
    private readonly handler: PartitionHandler,
    private readonly peers: TaskPeers,
  ) {
    this.clock = context.clock;
  }

  /**
   * Finds the route to a partition that this entry owns.
   *
   * @param partition - resource name
   * @returns the route, or a failure if this entry does not own the partition
   */
  localRoute(partition: string): Result<TaskRoute, Failure> {
    const owner = this.handler.find(partition);
    if (!owner) return Err(notOwned(STEP, partition));
    const commands = new LocalTaskCommands(this.context, owner);
    return Ok({ commands, queries: new LocalTaskQueries(owner) });
  }

  /**
   * Finds the route to a partition, whether this entry or a peer owns it.
   *
   * @param partition - resource name
   * @returns the route, or a failure if no owner is known
   */
  routeTo(partition: string): Result<TaskRoute, Failure> {
    const local = this.localRoute(partition);
    if (local.ok) return local;
    const peer = this.peers.find(partition);
    if (!peer) return local;
    const commands = new RemoteTaskCommands(peer, this.clock);
    return Ok({ commands, queries: new RemoteTaskQueries(peer, this.clock) });
  }

  /**
   * Finds the partition of a job.
   *
   * @param jobId - id of the job
   * @returns resource name of the partition, or a failure if the id is malformed
   */
  partitionOf(jobId: string): Result<string, Failure> {
    const partition = partitionOfJob(jobId);
    if (partition !== undefined) return Ok(partition);
    const message = 'this is no id of a task';
    return Err(
      new Failure({ code: 'not-found', step: STEP, peer: jobId, effect: 'not-run', message }),
    );
  }
}
