/**
 * Checks what the adapter makes of the run ends that a worker lists.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import test from 'ava';
import { callWithin } from 'samphirenotch/time/call.js';
import { SystemClock } from 'samphirenotch/time/clock.js';

import { PlatformWorkers } from '../../platform/platformWorkers.js';

/** Most ends in one answer, as the platform's pages say. */
const MAX_LISTED_ENDS = 500;

/** Starts a worker that lists a number of ends. */
const startWorker = async (endCount: number) => {
  const Finished = Array.from({ length: endCount }, (_, index) => [
    index + 1,
    `00000000000000a1.0.0.${index}`,
    1,
    'done',
    '',
  ]);
  const body = JSON.stringify({ ClockMs: 1, born: 1, Running: [], Finished });
  const server = createServer((request, response) => {
    request.resume();
    response.end(body);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};

/** Returns whether more ends may follow when a worker lists a number of them. */
const mayMoreFollow = async (endCount: number): Promise<boolean | undefined> => {
  const clock = new SystemClock();
  const server = await startWorker(endCount);
  const worker = new PlatformWorkers(clock).connect('w0', server.address);
  const order = { fencingToken: 1, acknowledged: 0, waitMs: 0 };
  const outcome = await worker.hold(order, callWithin(clock, 30_000));
  worker.close();
  server.close();
  if (outcome.err || outcome.val.kind !== 'held') return undefined;
  return outcome.val.holding.hasMoreEnds;
};

// Guards against runs that count as lost because the worker's answer has no room for their ends.
test.serial('should tell a full list of ends from one that may be continued', async (t) => {
  t.is(await mayMoreFollow(0), false);
  t.is(await mayMoreFollow(MAX_LISTED_ENDS - 1), false);
  t.is(await mayMoreFollow(MAX_LISTED_ENDS), true);
});
