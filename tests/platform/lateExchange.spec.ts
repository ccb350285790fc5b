/**
 * How long a call goes on whose process is late.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import test from 'ava';
import { callWithin } from 'samphirenotch/time/call.js';
import { SystemClock } from 'samphirenotch/time/clock.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { HttpExchange } from '../../platform/httpExchange.js';
import { HttpPeer } from '../../platform/httpPeer.js';
import { keepBusy } from '../fixtures/busyProcess.js';

const CALL_MS = 600;

/** Most time that lateness adds to a call, as its page says, in milliseconds. */
const MOST_ADDED_MS = 1_000;

/** Serves the timers of an exchange late, every time; tells how long it took to give up on silence. */
const giveUpAfter = (lateMs: number): number => {
  const clock = new ManualClock();
  const startMs = clock.monotonicMs();
  const untilMs = startMs + CALL_MS;
  let serve: (() => void) | undefined;
  let dueMs = 0;
  const { setTimeout: original } = globalThis;
  globalThis.setTimeout = ((callback: () => void, afterMs: number) => {
    serve = callback;
    dueMs = clock.monotonicMs() + afterMs;
    return undefined;
  }) as unknown as typeof setTimeout;
  try {
    const exchange = new HttpExchange({
      clock,
      signal: new AbortController().signal,
      waitMs: () => Math.max(0, untilMs - clock.monotonicMs()),
    });
    while (!exchange.hasEnded) {
      clock.jump(dueMs + lateMs - clock.monotonicMs());
      serve?.();
    }
  } finally {
    globalThis.setTimeout = original;
  }
  return clock.monotonicMs() - startMs;
};

// Guards against calls that outlive their deadline many times over while all timers are a little late.
test.serial('should add no more time to a call than it says', (t) => {
  t.true(giveUpAfter(1) <= CALL_MS + 1);
  t.true(giveUpAfter(25) <= CALL_MS + MOST_ADDED_MS);
});

// Guards against a silent peer that goes unnoticed because each timer of a busy process is late by a pass.
test.serial(
  'should give up on a silent peer once it has listened for as long as it was late',
  (t) => {
    const lateMs = 25;
    // The timer was late once, what it missed was listened for, and that was served late too.
    t.true(giveUpAfter(lateMs) <= CALL_MS + 3 * lateMs);
  },
);

const systemClock = new SystemClock();

/** A server whose answers come in two pieces. */
const startSlowly = async () => {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, { 'Content-Type': 'application/json' });
    response.write('{"first":1,');
    sleep(50)
      .then(() => response.end('"second":2}'))
      .catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const peer = new HttpPeer('store', `127.0.0.1:${port}`, 1, systemClock);
  const close = (): void => {
    peer.close();
    server.closeAllConnections();
    server.close();
  };
  const ask = (callMs: number) =>
    peer.send({ step: 'ask', method: 'GET', path: '/' }, callWithin(systemClock, callMs));
  return { ask, close };
};

// Guards against a first piece of an answer that takes back the time which lateness has added.
test.serial('should read all of an answer that came while the process was late', async (t) => {
  const { ask, close } = await startSlowly();
  t.teardown(close);
  t.true((await ask(2_000)).ok);
  const pending = ask(200);
  keepBusy(900);
  t.deepEqual(await pending.then((answer) => answer.ok), true);
});
