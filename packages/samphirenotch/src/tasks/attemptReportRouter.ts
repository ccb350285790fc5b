/**
 * Delivers reports of attempts to the owner of their partition, in this entry or at a peer.
 */
import type { AttemptReport as Report } from '../infrastructure/worker.js';
import { callUnary } from '../grpc/unaryCall.js';
import { RECORDED_IDS } from '../protocol/tasksMessages.js';
import { Err, Ok, type Result } from '../results.js';
import type { Failure } from '../failure.js';
import type { AttemptReportSink } from '../shards/shardService.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { PartitionHandler } from './partitionHandler.js';
import type { PartitionOwner } from './partitionOwner.js';
import { notOwned } from './taskFailure.js';
import { checkAnswer } from './taskMessage.js';
import type { TaskPeers } from './taskPeers.js';

const STEP = 'tasks.report';

/** Delivers reports of attempts to the owner of their partition. */
export class AttemptReportRouter implements AttemptReportSink {
  /**
   * @param handler - finds the partitions that this entry owns
   * @param peers - finds the peers that own the other partitions
   * @param clock - clock for the deadlines of calls
   */
  constructor(
    private readonly handler: PartitionHandler,
    private readonly peers: TaskPeers,
    private readonly clock: Clock,
  ) {}

  async report(
    partition: string,
    workerId: string,
    shard: string,
    reports: readonly Report[],
    call: Call,
  ): Promise<Result<readonly string[], Failure>> {
    const owner = this.handler.find(partition);
    if (owner) return this.reportLocally(owner, workerId, shard, reports);
    const peer = this.peers.find(partition);
    if (!peer) return Err(notOwned(STEP, partition));
    const request = { partition, workerId, shard, reports: [...reports] };
    const method = peer.client.reportAttempts.bind(peer.client);
    const answer = await callUnary(
      method,
      request,
      { step: STEP, peer: peer.id },
      call,
      this.clock,
    );
    if (answer.err) return answer;
    return checkAnswer(RECORDED_IDS, answer.val.recordedIds, STEP, peer.id);
  }

  /**
   * Applies reports to a partition that this entry owns.
   *
   * @param owner - owner of the partition
   * @param workerId - the worker that reports
   * @param shard - shard of the worker
   * @param reports - states of attempts
   * @returns ids of ended attempts that are durably recorded
   */
  async reportLocally(
    owner: PartitionOwner,
    workerId: string,
    shard: string,
    reports: readonly Report[],
  ): Promise<Result<readonly string[], Failure>> {
    const recorded = await Promise.all(
      reports.map((report) => owner.report(shard, workerId, report)),
    );
    if (recorded.includes(undefined)) return Err(notOwned(STEP, owner.grant.resource));
    const ids = reports.filter((_, index) => recorded[index]).map(({ attemptId }) => attemptId);
    return Ok(ids);
  }
}
