/**
 * The gRPC server of an entry.
 */
import { Server, ServerCredentials } from '@grpc/grpc-js';
import { Failure } from '../failure.js';
import type { GrpcService } from '../grpc/grpcService.js';

const MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024;
const KEEPALIVE_INTERVAL_MS = 2000;
const KEEPALIVE_TIMEOUT_MS = 2000;

/** Serves peers. */
export class GrpcListener {
  private readonly server = new Server({
    'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
    'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MS,
    'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  });

  /**
   * @param services - what is served
   */
  constructor(services: readonly GrpcService[]) {
    services.forEach((service) => service.register(this.server));
  }

  /**
   * Begins to listen.
   *
   * @param address - IP address and port
   */
  listen(address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, ServerCredentials.createInsecure(), (error) => {
        if (!error) {
          resolve();
          return;
        }
        const detail = { code: 'unavailable', step: 'grpc.listen', peer: address } as const;
        reject(new Failure({ ...detail, effect: 'not-run', message: error.message }));
      });
    });
  }

  /** Stops taking calls and resolves when the ones in progress have ended. */
  drain(): Promise<void> {
    return new Promise((resolve) => {
      this.server.tryShutdown(() => resolve());
    });
  }

  /** Ends everything at once. */
  close(): void {
    this.server.forceShutdown();
  }
}
