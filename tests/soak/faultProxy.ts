/**
 * A proxy on this machine between an entry and a stand-in, which harms its connections.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** What the proxy does to its connections. */
export type LinkFault =
  /** Passes on all that comes. */
  | 'none'
  /** New connections hang, and nothing passes on the open ones. */
  | 'cut'
  /** What the entry sends arrives; no answer comes back. */
  | 'one-way'
  /** Connections are reset, and new ones refused. */
  | 'reset'
  /** Everything takes a good deal longer. */
  | 'delay';

/** Delay of each piece on a slow link, in milliseconds. */
const DELAY_MS = 150;

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** The connection has gone silent for good, while new ones work. */
  silent: boolean;
}

/** One link. */
export class FaultProxy {
  fault: LinkFault = 'none';

  private readonly pairs = new Set<Pair>();

  private server: Server | undefined;

  /**
   * @param targetPort - port of the stand-in
   */
  constructor(private readonly targetPort: number) {}

  /** Listens on a free port and returns it. */
  async listen(): Promise<number> {
    const server = createServer((near) => this.accept(near));
    this.server = server;
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return (server.address() as AddressInfo).port;
  }

  /** Sets the fault; resets what is open if connections are to be reset. */
  set(fault: LinkFault): void {
    this.fault = fault;
    if (fault === 'reset') this.pairs.forEach(({ near }) => near.resetAndDestroy());
  }

  /** Open connections carry nothing any more; new ones do. */
  silenceOpen(): void {
    this.pairs.forEach((pair) => {
      const silenced = pair;
      silenced.silent = true;
    });
  }

  /** Ends everything. */
  close(): void {
    this.server?.close();
    this.pairs.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }

  private accept(near: Socket): void {
    if (this.fault === 'reset') {
      near.resetAndDestroy();
      return;
    }
    const far = connect(this.targetPort, '127.0.0.1');
    const pair: Pair = { near, far, silent: false };
    this.pairs.add(pair);
    near.on('data', (piece: Buffer) => this.pass(pair, far, piece, true));
    far.on('data', (piece: Buffer) => this.pass(pair, near, piece, false));
    const end = (): void => {
      this.pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    [near, far].forEach((socket) => socket.on('error', end).on('close', end));
  }

  private pass(pair: Pair, to: Socket, piece: Buffer, towardsTarget: boolean): void {
    if (pair.silent || this.fault === 'cut') {
      // What was dropped is never sent again: the connection is of no use from now on.
      const silenced = pair;
      silenced.silent = true;
      return;
    }
    if (this.fault === 'one-way' && !towardsTarget) {
      const silenced = pair;
      silenced.silent = true;
      return;
    }
    if (this.fault !== 'delay') {
      to.write(piece);
      return;
    }
    setTimeout(() => {
      if (!to.destroyed) to.write(piece);
    }, DELAY_MS);
  }
}
