/**
 * A daemon whose addresses are still held by another process of its machine.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server } from 'node:net';

import test, { type ExecutionContext } from 'ava';

import { CALLER_PORT, makeDaemon } from '../fixtures/daemon.js';

const listen = async (t: ExecutionContext, port: number, host: string): Promise<Server> => {
  const server = createServer((socket) => socket.destroy()).listen(port, host);
  t.teardown(() => server.close());
  await once(server, 'listening');
  return server;
};

// Guards against a process that tells owners that the one before has ended while that one goes on.
test('should call the store only once it holds the addresses of its machine', async (t) => {
  const store = await listen(t, 0, '127.0.0.1');
  let calls = 0;
  store.on('connection', () => {
    calls += 1;
  });
  const { port } = store.address() as AddressInfo;
  const { program, settings, host } = await makeDaemon(t, `127.0.0.1:${port}`);
  await listen(t, CALLER_PORT, host);
  const daemon = spawn(process.execPath, [program], {
    env: { PATH: process.env['PATH'], SAMPHIRENOTCH_BOOT: settings },
    stdio: 'ignore',
  });
  const [code] = (await once(daemon, 'exit')) as [number | null];
  t.is(code, 1);
  t.is(calls, 0);
});
