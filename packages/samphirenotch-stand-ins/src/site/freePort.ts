/**
 * Finds ports for programs that have to know them before they start.
 */
import { randomInt } from 'node:crypto';
import { once } from 'node:events';
import { createServer } from 'node:net';

/** Below the ports that systems give to outgoing connections, which would take them meanwhile. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 32_000;
const TRIES = 100;

const isFree = async (port: number): Promise<boolean> => {
  const server = createServer();
  try {
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
    server.close();
    await once(server, 'close');
    return true;
  } catch {
    return false;
  }
};

/**
 * Finds a port of loopback that nobody listens on.
 *
 * @returns the port
 */
export const freePort = async (): Promise<number> => {
  for (let tries = 0; tries < TRIES; tries += 1) {
    const port = randomInt(LOWEST_PORT, HIGHEST_PORT);
    if (await isFree(port)) return port;
  }
  throw new Error('No port is free.');
};
