/**
 * Tests calls to a store that accepts requests but neither answers nor closes the connection.
 */
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import test, { type ExecutionContext } from 'ava';
import { HttpKeyValueStore } from 'samphirenotch/infrastructure/httpKeyValueStore.js';
import { callWithin } from 'samphirenotch/time/call.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

const DEADLINE_MS = 1000;

const silentServer = async (): Promise<Server> => {
  const server = createServer(() => undefined);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
};

const collectGarbage = (): void => {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
};

/** Calls a store that never answers. Resolves once the store has received the request. */
const callSilentStore = async (t: ExecutionContext, signal?: AbortSignal) => {
  t.timeout(10_000);
  const server = await silentServer();
  const { port } = server.address() as AddressInfo;
  const clock = new ManualClock();
  const store = new HttpKeyValueStore(`127.0.0.1:${port}`, clock);
  t.teardown(async () => {
    await store.close();
    server.closeAllConnections();
    server.close();
  });
  const received = once(server, 'request');
  const answer = store.get('key', callWithin(clock, DEADLINE_MS, signal));
  await received;
  return { clock, answer };
};

// If only a combined signal references the deadline signal, it can be garbage-collected during the
// call. The call to a silent store then never ends.
test('should end a call at its deadline though garbage was collected meanwhile', async (t) => {
  const { clock, answer } = await callSilentStore(t);
  collectGarbage();
  await clock.advance(DEADLINE_MS);
  const { err, val } = await answer;
  t.true(err);
  t.like(val, { code: 'deadline', step: 'store.get', effect: 'unknown' });
});

test('should end a call that is cancelled', async (t) => {
  const cancelled = new AbortController();
  const { answer } = await callSilentStore(t, cancelled.signal);
  cancelled.abort();
  const { err, val } = await answer;
  t.true(err);
  t.like(val, { code: 'deadline', step: 'store.get', effect: 'unknown' });
});
