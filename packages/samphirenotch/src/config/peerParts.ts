/**
 * Parts of content as a peer has them in force.
 */
import { Metadata, status, type ServiceError } from '@grpc/grpc-js';
import { Failure } from '../failure.js';
import { fromServiceError } from '../grpc/grpcFailure.js';
import type { PeerClients } from '../grpc/grpcService.js';
import {
  ConfigurationServiceClient,
  type FetchPartResponse,
} from '../protocol/generated/samphirenotch/v1/configuration.js';
import { Err, Ok, type Result } from '../results.js';
import { remainingMs, type Call } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { PartSource } from './partSource.js';

const STEP = 'configuration.fetchPart';

const unknownPeer = (peer: string): Failure =>
  new Failure({
    code: 'unavailable',
    step: STEP,
    peer,
    effect: 'not-run',
    message: 'no such peer',
  });

/** Fetches parts from one peer. */
export class PeerParts implements PartSource {
  /**
   * @param clients - how peers are reached
   * @param peerId - the peer
   * @param clock - the clock of deadlines
   */
  constructor(
    private readonly clients: PeerClients,
    private readonly peerId: string,
    private readonly clock: Clock,
  ) {}

  part(digest: string, call: Call): Promise<Result<string | undefined, Failure>> {
    const client = this.clients.client(this.peerId, ConfigurationServiceClient);
    if (!client) return Promise.resolve(Err(unknownPeer(this.peerId)));
    const deadline = this.clock.wallMs() + remainingMs(this.clock, call);
    return new Promise((resolve) => {
      let cancel = (): void => {};
      const finish = (error: ServiceError | null, response: FetchPartResponse): void => {
        call.signal.removeEventListener('abort', cancel);
        resolve(this.outcome(error, response));
      };
      const pending = client.fetchPart({ digest }, new Metadata(), { deadline }, finish);
      cancel = () => pending.cancel();
      call.signal.addEventListener('abort', cancel);
    });
  }

  private outcome(
    error: ServiceError | null,
    response: FetchPartResponse,
  ): Result<string | undefined, Failure> {
    if (!error) return Ok(response.content);
    if (error.code === status.NOT_FOUND) return Ok(undefined);
    return Err(fromServiceError(error, STEP, this.peerId));
  }
}
