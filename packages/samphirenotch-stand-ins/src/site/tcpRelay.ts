/**
 * A relay between two programs that can be cut or go silent.
 */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** How a relay treats what passes through it. */
export type RelayMode = 'open' | 'silent' | 'cut';

/** Passes TCP connections on to a target. */
export class TcpRelay {
  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  private mode: RelayMode = 'open';

  private passed = 0;

  /**
   * @param target - port on loopback that connections are passed on to
   */
  constructor(private readonly target: number) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Bytes passed on so far, in both directions together. */
  get passedBytes(): number {
    return this.passed;
  }

  /** @returns the port that the relay listens on */
  async listen(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  /**
   * Sets how connections are treated. `silent` drops all bytes and keeps connections open, also the
   * ones that are open already; `cut` breaks them and refuses new ones.
   *
   * @param mode - the treatment
   */
  set(mode: RelayMode): void {
    this.mode = mode;
    if (mode === 'cut') this.sockets.forEach((socket) => socket.destroy());
  }

  /** Breaks all connections and stops listening. */
  close(): void {
    this.set('cut');
    this.server.close();
  }

  private accept(inbound: Socket): void {
    if (this.mode === 'cut') {
      inbound.destroy();
      return;
    }
    const outbound = connect(this.target, '127.0.0.1');
    inbound.setNoDelay();
    outbound.setNoDelay();
    this.join(inbound, outbound);
    this.join(outbound, inbound);
  }

  private join(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.on('data', (bytes) => {
      if (this.mode !== 'open') return;
      this.passed += bytes.length;
      to.write(bytes);
    });
    from.on('error', () => from.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
