/**
 * One service that an entry offers to its peers, and how peers are reached.
 */
import type { ChannelCredentials, Client, ClientOptions, Server } from '@grpc/grpc-js';

/** A service to be added to the entry's server. */
export interface GrpcService {
  register(server: Server): void;
}

/** A generated client class. */
export type ClientClass<C extends Client> = new (
  address: string,
  credentials: ChannelCredentials,
  options?: Partial<ClientOptions>,
) => C;

/** Clients of peers; one channel with keepalive for each peer, shared by all services. */
export interface PeerClients {
  /** Makes or finds a client of a live peer; nothing if the peer is not known. */
  client<C extends Client>(peerId: string, clientClass: ClientClass<C>): C | undefined;
}
