/**
 * Finds the peer that owns a partition.
 */
import type { PeerClients } from '../grpc/grpcService.js';
import type { Ownership } from '../membership/ownership.js';
import { TasksServiceClient } from '../protocol/generated/samphirenotch/v1/tasks.js';

/** A peer with the client of its tasks service. */
export interface TaskPeer {
  readonly id: string;
  readonly client: TasksServiceClient;
}

/** Looks up peers by the partitions that they own. */
export class TaskPeers {
  /**
   * @param ownership - the last known owners of partitions
   * @param clients - gRPC clients of peers
   * @param selfId - id of this entry
   */
  constructor(
    private readonly ownership: Ownership,
    private readonly clients: PeerClients,
    private readonly selfId: string,
  ) {}

  /**
   * Finds the owner of a partition.
   *
   * @param partition - resource name
   * @returns the peer, or undefined if no other entry is known to own it
   */
  find(partition: string): TaskPeer | undefined {
    const id = this.ownership.ownerOf(partition);
    if (id === undefined || id === this.selfId) return undefined;
    const client = this.clients.client(id, TasksServiceClient);
    return client && { id, client };
  }
}
