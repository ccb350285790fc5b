/**
 * The shard service of another entry.
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

/** Asks the entry that owns a shard. */
export class RemoteShardService {
  /**
   * @param clients - clients of peers
   * @param clock - for deadlines
   */
  constructor(
    private readonly clients: PeerClients,
    private readonly clock: Clock,
  ) {}

  /**
   * Asks for room.
   *
   * @param peerId - the owner
   * @param shard - the shard
   * @param request - what is to be placed
   * @param call - deadline and cancellation
   * @returns the outcome, or what went wrong
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
   * Frees a reservation that was not started.
   *
   * @param peerId - the owner
   * @param reservation - the reservation
   * @param call - deadline and cancellation
   * @returns nothing, or what went wrong
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
   * Starts an attempt in reserved room.
   *
   * @param peerId - the owner
   * @param reservation - the room
   * @param order - what to start
   * @param call - deadline and cancellation
   * @returns the report, or what went wrong
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
   * @param peerId - the owner
   * @param target - what to stop
   * @param call - deadline and cancellation
   * @returns the report, or what went wrong
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
   * Asks what is known of an attempt.
   *
   * @param peerId - the owner
   * @param target - what to find
   * @param call - deadline and cancellation
   * @returns the report if there is one, or what went wrong
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
