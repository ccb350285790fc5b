/**
 * Serves parts of the configuration in force to peers.
 */
import type { Server } from '@grpc/grpc-js';
import { Failure } from '../failure.js';
import { toStatus } from '../grpc/grpcFailure.js';
import type { GrpcService } from '../grpc/grpcService.js';
import { checkFetchPartRequest } from '../protocol/configurationMessages.js';
import {
  ConfigurationServiceService,
  type ConfigurationServiceServer,
} from '../protocol/generated/samphirenotch/v1/configuration.js';

/** Finds parts that this entry holds. */
export interface HeldParts {
  /** Text of the part, or nothing if it is not part of the configuration in force here. */
  heldPart(digest: string): string | undefined;
}

const notHeld = (digest: string): Failure =>
  new Failure({
    code: 'not-found',
    step: 'configuration.fetchPart',
    peer: 'self',
    effect: 'not-run',
    message: `part ${digest} is not in force here`,
  });

/** The configuration service of an entry. */
export class ConfigurationPartService implements GrpcService {
  /**
   * @param held - where parts are found
   */
  constructor(private readonly held: HeldParts) {}

  register(server: Server): void {
    const handlers: ConfigurationServiceServer = {
      fetchPart: (call, answer) => {
        const request = checkFetchPartRequest(call.request);
        if (!request.ok) {
          answer(toStatus(request.val));
          return;
        }
        const content = this.held.heldPart(request.val.digest);
        if (content === undefined) answer(toStatus(notHeld(request.val.digest)));
        else answer(null, { content });
      },
    };
    server.addService(ConfigurationServiceService, handlers);
  }
}
