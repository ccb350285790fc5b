/**
 * gRPC client for the shard service of other entries.
 */
import { Failure } from '../failure.js';
import type { PeerClients } from '../grpc/grpcService.js';
import { callUnary, type UnaryMethod } from '../grpc/unaryCall.js';
import type { AttemptOrder, AttemptReport } from '../infrastructure/worker.js';
import { ShardServiceClient } from '../protocol/generated/samphirenotch/v1/shards.js';
import {
  findAnswerFromWire,
  reportAnswerFromWire,
  reserveAnswerFromWire,
  startToWire,
} from '../protocol/shardMessages.js';
import { Err, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { notRun } from './shardFailure.js';
import type { PlacementOutcome, PlacementRequest, Reservation } from './shardService.js';

/** Calls the shard service of the entry that owns a shard. */
export class RemoteShardService {
  /**
   * @param clients - gRPC clients for other entries
   * @param clock - for deadlines
   */
  constructor(
    private readonly clients: PeerClients,
    private readonly clock: Clock,
  ) {}

  /**
   * Reserves room for an attempt.
   *
   * @param peerId - id of the entry that owns the shard
   * @param shard - resource name of the shard
   * @param request - the attempt to place
   * @param call - deadline and cancellation
   * @returns the outcome, or the failure of the call
   */
  async reserve(
    peerId: string,
    shard: string,
    request: PlacementRequest,
    call: Call,
  ): Promise<Result<PlacementOutcome, Failure>> {
    const message = { shard, ...request, excludedWorkers: [...request.excludedWorkers] };
    const target = { step: 'shard.reserve', peer: peerId };
    const answer = await this.callPeer(peerId, 'reserve', message, target.step, call);
    return answer.ok ? reserveAnswerFromWire(answer.val, peerId) : Err(answer.val);
  }

  /**
   * Releases a reservation whose attempt was not started.
   *
   * @param peerId - id of the entry that owns the shard
   * @param reservation - the reservation
   * @param call - deadline and cancellation
   * @returns nothing, or the failure of the call
   */
  async cancelReservation(
    peerId: string,
    reservation: Reservation,
    call: Call,
  ): Promise<Result<void, Failure>> {
    const answer = await this.callPeer(
      peerId,
      'cancelReservation',
      { reservation },
      'shard.cancel',
      call,
    );
    return answer.map(() => undefined);
  }

  /**
   * Starts the attempt of a reservation.
   *
   * @param peerId - id of the entry that owns the shard
   * @param reservation - the reserved room
   * @param order - the attempt to start
   * @param call - deadline and cancellation
   * @returns the worker's report, or the failure of the call
   */
  async start(
    peerId: string,
    reservation: Reservation,
    order: AttemptOrder,
    call: Call,
  ): Promise<Result<AttemptReport, Failure>> {
    const message = startToWire(reservation, order);
    const answer = await this.callPeer(peerId, 'start', message, 'shard.start', call);
    return answer.ok ? reportAnswerFromWire(answer.val, 'shard.start', peerId) : Err(answer.val);
  }

  /**
   * Stops an attempt.
   *
   * @param peerId - id of the entry that owns the shard
   * @param target - the attempt, and whether to take a checkpoint first
   * @param call - deadline and cancellation
   * @returns the last report, or the failure of the call
   */
  async stop(
    peerId: string,
    target: {
      readonly shard: string;
      readonly workerId: string;
      readonly attemptId: string;
      readonly withCheckpoint: boolean;
    },
    call: Call,
  ): Promise<Result<AttemptReport, Failure>> {
    const answer = await this.callPeer(peerId, 'stop', target, 'shard.stop', call);
    return answer.ok ? reportAnswerFromWire(answer.val, 'shard.stop', peerId) : Err(answer.val);
  }

  /**
   * Asks the owner of a shard whether a worker holds an attempt.
   *
   * @param peerId - id of the entry that owns the shard
   * @param target - the attempt to find
   * @param call - deadline and cancellation
   * @returns the report, `undefined` if the attempt does not run there, or the failure of the call
   */
  async find(
    peerId: string,
    target: { readonly shard: string; readonly workerId: string; readonly attemptId: string },
    call: Call,
  ): Promise<Result<AttemptReport | undefined, Failure>> {
    const answer = await this.callPeer(peerId, 'find', target, 'shard.find', call);
    return answer.ok ? findAnswerFromWire(answer.val, peerId) : Err(answer.val);
  }

  private callPeer(
    peerId: string,
    method: 'reserve' | 'cancelReservation' | 'start' | 'stop' | 'find',
    message: unknown,
    step: string,
    call: Call,
  ): Promise<Result<unknown, Failure>> {
    const client = this.clients.client(peerId, ShardServiceClient);
    if (!client) {
      const failure = notRun(step, peerId, 'unavailable', 'the peer is not known');
      return Promise.resolve(Err(failure));
    }
    const boundMethod = client[method].bind(client) as unknown as UnaryMethod<unknown, unknown>;
    return callUnary(boundMethod, message, { step, peer: peerId }, call, this.clock);
  }
}
