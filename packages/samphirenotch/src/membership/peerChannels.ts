/**
 * Keeps one gRPC channel with keepalive for each peer, shared by the clients of all services.
 */
import { Channel, credentials, type ChannelOptions, type Client } from '@grpc/grpc-js';
import type { ClientClass, PeerClients } from '../grpc/grpcService.js';
import type { Peers } from './peers.js';

const KEEPALIVE_TIME_MS = 2000;
const KEEPALIVE_TIMEOUT_MS = 2000;
const MAXIMUM_RECONNECT_BACKOFF_MS = 1000;

/** Number of channels from which on the channels to peers that are not live are closed. */
const CHANNEL_CLEANUP_THRESHOLD = 64;

const CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.keepalive_time_ms': KEEPALIVE_TIME_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.max_reconnect_backoff_ms': MAXIMUM_RECONNECT_BACKOFF_MS,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.max_receive_message_length': 8 * 1024 * 1024,
};

/** A channel and the clients that share it, by client class. */
interface PeerChannel {
  readonly channel: Channel;
  readonly clients: Map<unknown, Client>;
}

/** gRPC channels to peers, by address. */
export class PeerChannels implements PeerClients {
  private readonly channels = new Map<string, PeerChannel>();

  /**
   * @param peers - for the addresses of peers
   */
  constructor(private readonly peers: Peers) {}

  client<C extends Client>(peerId: string, clientClass: ClientClass<C>): C | undefined {
    const peer = this.peers.find(peerId);
    return peer && this.clientAt(peer.address, clientClass);
  }

  /**
   * Returns the client for an address, creating it if needed. No peer has to be known at the
   * address.
   *
   * @param address - IP address and port
   * @param ClientOf - generated client class
   * @returns the client
   */
  clientAt<C extends Client>(address: string, ClientOf: ClientClass<C>): C {
    const { channel, clients } = this.channelTo(address);
    const known = clients.get(ClientOf);
    if (known) return known as C;
    const options = { ...CHANNEL_OPTIONS, channelOverride: channel };
    const client = new ClientOf(address, credentials.createInsecure(), options);
    clients.set(ClientOf, client);
    return client;
  }

  /** Closes all channels. */
  close(): void {
    this.channels.forEach(({ channel }) => channel.close());
    this.channels.clear();
  }

  private channelTo(address: string): PeerChannel {
    const known = this.channels.get(address);
    if (known) return known;
    if (this.channels.size >= CHANNEL_CLEANUP_THRESHOLD) this.closeChannelsToSilentPeers();
    const channel = new Channel(address, credentials.createInsecure(), CHANNEL_OPTIONS);
    const created = { channel, clients: new Map<unknown, Client>() };
    this.channels.set(address, created);
    return created;
  }

  /**
   * Closes the channels to addresses without a live peer. Entries come and go at new addresses, so
   * unused channels would accumulate.
   */
  private closeChannelsToSilentPeers(): void {
    const live = new Set(this.peers.live().map(({ address }) => address));
    [...this.channels]
      .filter(([address]) => !live.has(address))
      .forEach(([address, { channel }]) => {
        channel.close();
        this.channels.delete(address);
      });
  }
}
