/**
 * A bare relay of HTTP requests, the floor under a request through an entry. With `relay PORT` it passes
 * requests on to a port of loopback, with `echo` it answers with their body. Prints its port once it
 * listens.
 *
 * @packageDocumentation
 */

import { Agent, createServer, request, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import { buffer } from 'node:stream/consumers';

/** The shortest pause of the worker stand-in, so that both answer after the same time. */
const SERVICE_MS = 1;

const [, , mode, target = '0'] = process.argv;
const agent = new Agent({ keepAlive: true });

const relay: RequestListener = (inbound, response) => {
  const { method, url, headers } = inbound;
  const outbound = request(
    { agent, host: '127.0.0.1', port: Number(target), method, path: url, headers },
    (answer) => {
      response.writeHead(answer.statusCode ?? 0, answer.headers);
      answer.pipe(response);
    },
  );
  outbound.on('error', () => response.destroy());
  inbound.pipe(outbound);
};

const echo: RequestListener = (inbound, response) => {
  const answer = async (): Promise<void> => {
    const body = await buffer(inbound);
    setTimeout(() => response.end(body), SERVICE_MS);
  };
  answer().catch(() => response.destroy());
};

const server = createServer(mode === 'relay' ? relay : echo);
server.listen(0, '127.0.0.1', () => {
  console.log((server.address() as AddressInfo).port);
});
