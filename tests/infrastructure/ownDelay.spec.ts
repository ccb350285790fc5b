/**
 * Calls over HTTP of a process that is late itself.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Readable } from 'node:stream';

import test, { type ExecutionContext } from 'ava';
import { HttpWorker } from 'samphirenotch/infrastructure/httpWorker.js';
import { callWithin } from 'samphirenotch/time/call.js';
import { SystemClock } from 'samphirenotch/time/clock.js';

const clock = new SystemClock();

/** Time for a call, and for which the event loop does nothing else meanwhile, in milliseconds. */
const CALL_MS = 200;
const BUSY_MS = 600;

const block = (): void => {
  const untilMs = clock.monotonicMs() + BUSY_MS;
  while (clock.monotonicMs() < untilMs);
};

/** A worker that answers at once. */
const connect = async (t: ExecutionContext, onRequest = (): void => undefined) => {
  const server = createServer((_request, response) => {
    onRequest();
    response.end('answer');
  });
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
  return () => worker.execute(1, { ...identity, ...content }, callWithin(clock, CALL_MS));
};

// Guards against a process that takes its own delay for the silence of a worker.
test.serial('should wait for a worker as long as the process itself was late', async (t) => {
  const execute = await connect(t);
  const pending = execute();
  block();
  t.true((await pending).ok);
});

// Guards against answers that are thrown away because they were not read yet when their time was up.
test.serial('should take an answer of a worker that came while the process was busy', async (t) => {
  const execute = await connect(t, () => setImmediate(block));
  t.true((await execute()).ok);
});
