/**
 * Addresses of this machine that no other soak uses: soaks run beside each other, and callers must not
 * reach the entries of another one.
 */
import { once } from 'node:events';
import { createServer, type Server } from 'node:net';

/** Port whose listener holds a network; entries use others. */
const RESERVING_PORT = 18_160;

/** Highest third part of an address. */
const LAST_NETWORK = 254;

/** First address of an entry; the one before holds the network. */
const FIRST_ENTRY = 2;

const listenAt = async (host: string): Promise<Server | undefined> => {
  const server = createServer();
  server.listen(RESERVING_PORT, host);
  try {
    await once(server, 'listening');
    return server;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'EADDRINUSE') return undefined;
    throw error;
  }
};

/** A network that is held until it is released, or until the process ends. */
export class ReservedNetwork {
  private constructor(
    private readonly server: Server,
    private readonly prefix: string,
  ) {}

  /**
   * Reserves a network.
   *
   * @returns the network
   */
  static async reserve(): Promise<ReservedNetwork> {
    for (let network = 1; network <= LAST_NETWORK; network += 1) {
      const prefix = `127.0.${network}.`;
      const server = await listenAt(`${prefix}1`);
      if (server) return new ReservedNetwork(server, prefix);
    }
    throw new Error('Other soaks hold all networks of this machine.');
  }

  /**
   * Returns the address of an entry.
   *
   * @param index - index of the entry, from 0
   * @returns an IP address that no other entry has
   */
  addressOf(index: number): string {
    return `${this.prefix}${FIRST_ENTRY + index}`;
  }

  /** Lets others use the network. */
  release(): void {
    this.server.close();
  }
}
