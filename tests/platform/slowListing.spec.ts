/**
 * Listings over slow links, and from a store that falls silent in their middle.
 */
import { once } from 'node:events';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { callWithin } from 'samphirenotch/time/call.js';
import { SystemClock } from 'samphirenotch/time/clock.js';

import { PlatformStore } from '../../platform/platformStore.js';

const SILENCE_MS = 1_500;
const PIECE_GAP_MS = 100;
const PIECES = 20;

const clock = new SystemClock();

const PAGE = JSON.stringify({
  items: [{ Key: 'jobs/1', Value: Buffer.from('text').toString('base64'), Revision: 3 }],
  HasMore: false,
  StoreRevision: 9,
});

const serve = async (
  t: ExecutionContext,
  answer: (response: ServerResponse) => Promise<void>,
): Promise<PlatformStore> => {
  const server: Server = createServer((_request, response) => {
    answer(response).catch((error: unknown) => t.log(String(error)));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const store = new PlatformStore(`127.0.0.1:${port}`, clock);
  t.teardown(async () => {
    await store.close();
    server.closeAllConnections();
    server.close();
  });
  return store;
};

const sendSlowly = async (response: ServerResponse, pieces: number): Promise<void> => {
  const length = Math.ceil(PAGE.length / PIECES);
  for (let index = 0; index < pieces; index += 1) {
    response.write(PAGE.slice(index * length, (index + 1) * length));
    await clock.sleep(PIECE_GAP_MS);
  }
};

test('should read a listing that takes longer than the store may be silent', async (t) => {
  const store = await serve(t, async (response) => {
    await sendSlowly(response, PIECES);
    response.end();
  });
  const listing = await store.list('jobs/', callWithin(clock, SILENCE_MS));
  t.deepEqual(
    listing.unwrap().items.map(({ value }) => value),
    ['text'],
  );
});

test('should give up a listing whose store falls silent in its middle', async (t) => {
  const store = await serve(t, (response) => sendSlowly(response, PIECES / 2));
  const listing = await store.list('jobs/', callWithin(clock, SILENCE_MS));
  t.true(listing.err && listing.val.code === 'deadline');
});
