/**
 * Puts task handling of an entry together.
 */
import type { GrpcService, PeerClients } from '../grpc/grpcService.js';
import type { HttpHandler } from '../http/httpHandler.js';
import type { Ownership, ResourceHandler } from '../membership/ownership.js';
import type { AttemptSink } from '../shards/shardService.js';
import { RoutedAttemptSink } from './attemptSink.js';
import { PartitionHandler } from './partitionHandler.js';
import type { TaskContext } from './taskContext.js';
import { TaskHandler } from './taskHandler.js';
import { TaskLister } from './taskLister.js';
import { TaskPeers } from './taskPeers.js';
import { TaskRouter } from './taskRouter.js';
import { TasksServer } from './tasksServer.js';
import { TaskSubmitter } from './taskSubmitter.js';

/** What task handling offers to the rest of the entry. */
export interface Tasks {
  /** Owns partitions. */
  readonly resourceHandler: ResourceHandler;
  /** Takes reports of attempts. */
  readonly sink: AttemptSink;
  /** Answers peers. */
  readonly grpcService: GrpcService;
  /** Answers callers. */
  readonly httpHandler: HttpHandler;
}

/**
 * Makes task handling.
 *
 * @param context - parts of the entry
 * @param ownership - who owns what
 * @param clients - how peers are reached
 * @returns its parts
 */
export const makeTasks = (
  context: TaskContext,
  ownership: Ownership,
  clients: PeerClients,
): Tasks => {
  const resourceHandler = new PartitionHandler(context);
  const peers = new TaskPeers(ownership, clients, context.selfId);
  const router = new TaskRouter(context, resourceHandler, peers);
  const sink = new RoutedAttemptSink(resourceHandler, peers, context.clock);
  const submitter = new TaskSubmitter(context, router);
  const lister = new TaskLister(context, router);
  return {
    resourceHandler,
    sink,
    grpcService: new TasksServer(router, resourceHandler, sink, context.clock),
    httpHandler: new TaskHandler(context, router, submitter, lister),
  };
};
