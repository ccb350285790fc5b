/**
 * gRPC server through which other entries use the shards that this entry owns.
 */
import type { sendUnaryData, Server, ServerUnaryCall } from '@grpc/grpc-js';
import type { Failure } from '../failure.js';
import { toStatus } from '../grpc/grpcFailure.js';
import type { GrpcService } from '../grpc/grpcService.js';
import { serverCall } from '../grpc/serverCall.js';
import {
  ShardServiceService,
  type ShardServiceServer,
} from '../protocol/generated/samphirenotch/v1/shards.js';
import {
  cancelFromWire,
  findFromWire,
  reportToWire,
  reserveFromWire,
  startFromWire,
  stopFromWire,
} from '../protocol/shardMessages.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import { unknownEffect } from './shardFailure.js';
import type { ShardService } from './shardService.js';

type Parse<Message> = (wire: unknown, peer: string) => Result<Message, Failure>;
type Handle<Message, Response> = (
  message: Message,
  call: Call,
) => Promise<Result<Response, Failure>>;

/** Serves the shards of this entry to other entries. */
export class GrpcShardService implements GrpcService {
  /**
   * @param local - service of the shards that this entry owns
   * @param clock - for deadlines
   */
  constructor(
    private readonly local: ShardService,
    private readonly clock: Clock,
  ) {}

  register(server: Server): void {
    const { local } = this;
    const implementation: ShardServiceServer = {
      reserve: this.handler(reserveFromWire, async ({ shard, wish }, call) => {
        const outcome = await local.reserve(shard, wish, call);
        return outcome.map((each) =>
          each.kind === 'reserved'
            ? { reservation: each.reservation, refusal: '' }
            : { reservation: undefined, refusal: each.reason },
        );
      }),
      cancelReservation: this.handler(cancelFromWire, async (reservation, call) => {
        const outcome = await local.cancelReservation(reservation, call);
        return outcome.map(() => ({}));
      }),
      start: this.handler(startFromWire, async ({ reservation, order }, call) => {
        const outcome = await local.start(reservation, order, call);
        return outcome.map((report) => ({ report: reportToWire(report) }));
      }),
      stop: this.handler(stopFromWire, async (target, call) => {
        const { shard, workerId, attemptId, withCheckpoint } = target;
        const outcome = await local.stop(shard, workerId, attemptId, withCheckpoint, call);
        return outcome.map((report) => ({ report: reportToWire(report) }));
      }),
      find: this.handler(findFromWire, async ({ shard, workerId, attemptId }, call) => {
        const outcome = await local.find(shard, workerId, attemptId, call);
        return outcome.map((report) => ({ report: report && reportToWire(report) }));
      }),
    };
    server.addService(ShardServiceService, implementation);
  }

  private handler<Request, Message, Response>(
    parse: Parse<Message>,
    handle: Handle<Message, Response>,
  ): (call: ServerUnaryCall<Request, Response>, callback: sendUnaryData<Response>) => void {
    return (received, callback) => {
      const message = parse(received.request, received.getPeer());
      if (!message.ok) {
        callback(toStatus(message.val));
        return;
      }
      handle(message.val, serverCall(received, this.clock)).then(
        (outcome) => {
          if (outcome.ok) callback(null, outcome.val);
          else callback(toStatus(outcome.val));
        },
        (error: unknown) => {
          callback(toStatus(unknownEffect('shard', 'self', 'internal', String(error))));
        },
      );
    };
  }
}
