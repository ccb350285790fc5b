/**
 * Connections to one address, and the calls that wait for them.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import test from 'ava';
import type { Client } from 'undici';

import { HttpConnections } from '../../platform/httpConnections.js';

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

test('should use each connection for one call at a time, in the order of asking', async (t) => {
  const connections = new HttpConnections('http://127.0.0.1:1', 2);
  t.teardown(() => connections.destroy());
  const used: [string, Client][] = [];
  ['a', 'b', 'c', 'd'].forEach((name) =>
    connections.acquire((connection) => used.push([name, connection])),
  );
  t.deepEqual(
    used.map(([name]) => name),
    ['a', 'b'],
  );
  const [[, first] = [], [, second] = []] = used;
  t.not(first, second);
  if (second) connections.release(second);
  t.deepEqual(used[2], ['c', second]);
  if (first) connections.release(first);
  t.deepEqual(used[3], ['d', first]);
});

test('should open no connection before one is needed, and keep what is free', async (t) => {
  let opened = 0;
  const server = createServer((_request, response) => response.end('{}'));
  server.on('connection', () => {
    opened += 1;
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const connections = new HttpConnections(`http://127.0.0.1:${port}`, 4);
  t.teardown(async () => {
    await connections.destroy();
    server.close();
  });
  await nextTurn();
  t.is(opened, 0);
  for (let at = 0; at < 3; at += 1) {
    await new Promise<void>((resolve) => {
      connections.acquire((connection) => {
        connection
          .request({ method: 'GET', path: '/' })
          .then(({ body }) => body.dump())
          .then(() => {
            connections.release(connection);
            resolve();
          })
          .catch((error: unknown) => t.fail(String(error)));
      });
    });
  }
  t.is(opened, 1);
});
