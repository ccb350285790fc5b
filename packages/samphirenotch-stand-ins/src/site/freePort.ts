/**
 * Finds ports for programs that have to know them before they start.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';

/**
 * Finds a port of loopback that nobody listens on.
 *
 * @returns the port
 */
export const freePort = async (): Promise<number> => {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
};
