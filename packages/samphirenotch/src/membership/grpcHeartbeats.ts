/**
 * Client and server side of heartbeats over gRPC.
 */
import type { Server } from '@grpc/grpc-js';
import type { Failure } from '../failure.js';
import { toStatus } from '../grpc/grpcFailure.js';
import type { GrpcService } from '../grpc/grpcService.js';
import { callUnary } from '../grpc/unaryCall.js';
import {
  MembershipServiceClient,
  MembershipServiceService,
  type MembershipServiceServer,
} from '../protocol/generated/samphirenotch/v1/membership.js';
import { heartbeatFromWire, heartbeatToWire } from '../protocol/membershipMessages.js';
import { Err, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { Gossip } from './gossip.js';
import type { HeartbeatMessage } from './heartbeatMessage.js';
import type { HeartbeatTransport } from './heartbeatTransport.js';
import type { PeerChannels } from './peerChannels.js';

/** Sends heartbeats to peers over gRPC channels, and answers heartbeats of peers. */
export class GrpcHeartbeats implements HeartbeatTransport, GrpcService {
  /**
   * @param clock - for deadlines
   * @param channels - gRPC channels to peers
   * @param gossip - processes received heartbeats and composes the answers
   */
  constructor(
    private readonly clock: Clock,
    private readonly channels: PeerChannels,
    private readonly gossip: Gossip,
  ) {}

  register(server: Server): void {
    const implementation: MembershipServiceServer = {
      heartbeat: (call, callback) => {
        const received = heartbeatFromWire(call.request, call.getPeer());
        if (!received.ok) {
          callback(toStatus(received.val));
          return;
        }
        this.gossip.receiveRequest(received.val);
        callback(null, heartbeatToWire(this.gossip.compose()));
      },
    };
    server.addService(MembershipServiceService, implementation);
  }

  async exchange(
    address: string,
    message: HeartbeatMessage,
    call: Call,
  ): Promise<Result<HeartbeatMessage, Failure>> {
    const client = this.channels.clientAt(address, MembershipServiceClient);
    const target = { step: 'membership.heartbeat', peer: address };
    const wire = heartbeatToWire(message);
    const answer = await callUnary(client.heartbeat.bind(client), wire, target, call, this.clock);
    return answer.ok ? heartbeatFromWire(answer.val, address) : Err(answer.val);
  }
}
