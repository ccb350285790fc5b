/**
 * Tests that the deadline of a request to a worker limits the time until the answer begins, not the
 * time until it ends.
 */
import { once } from 'node:events';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Readable } from 'node:stream';
import { text } from 'node:stream/consumers';
import test, { type ExecutionContext } from 'ava';
import { HttpWorker } from 'samphirenotch/infrastructure/httpWorker.js';
import { callWithin } from 'samphirenotch/time/call.js';
import { SystemClock } from 'samphirenotch/time/clock.js';

const TIMEOUT_MS = 200;

const clock = new SystemClock();

const execute = async (t: ExecutionContext, answer: (response: ServerResponse) => void) => {
  const server: Server = createServer((_request, response) => answer(response));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const worker = new HttpWorker('w1', `127.0.0.1:${port}`, clock);
  t.teardown(async () => {
    await worker.close();
    server.closeAllConnections();
    server.close();
  });
  const identity = { requestId: 'r1', service: 's', taskClass: 'c', tenant: 't' };
  const content = { method: 'GET', path: '/', headers: {}, body: Readable.from([]) };
  return worker.execute(1, { ...identity, ...content }, callWithin(clock, TIMEOUT_MS));
};

test('should let an answer that began in time end after the deadline', async (t) => {
  let finish: () => void = () => {};
  const outcome = await execute(t, (response) => {
    response.write('first, ');
    finish = () => response.end('last');
  });
  const reading = text(outcome.unwrap().body);
  await clock.sleep(2 * TIMEOUT_MS);
  finish();
  t.is(await reading, 'first, last');
});

test('should fail a request whose answer does not begin before the deadline', async (t) => {
  const outcome = await execute(t, () => {});
  t.true(outcome.err && outcome.val.code === 'deadline' && outcome.val.effect === 'unknown');
});
