/**
 * Calls of a process that is late itself.
 */
import test from 'ava';
import { callWithin } from 'samphirenotch/time/call.js';
import { SystemClock } from 'samphirenotch/time/clock.js';

import { HttpPeer } from '../../platform/httpPeer.js';
import { keepBusy } from '../fixtures/busyProcess.js';
import { startStandIn } from '../fixtures/httpStandIn.js';

const clock = new SystemClock();

/** Time for a call, and for which the event loop does nothing else meanwhile, in milliseconds. */
const CALL_MS = 200;
const BUSY_MS = 600;

/** A peer of the test; `onRequest` is called when it has received a request. */
const connect = async (onRequest = (_path: string): void => undefined) => {
  const standIn = await startStandIn(({ path }) => {
    onRequest(path);
    return { status: 200, body: {} };
  });
  const peer = new HttpPeer('worker', standIn.address, 1, clock);
  const ask = (path: string) =>
    peer.send({ step: 'ask', method: 'GET', path }, callWithin(clock, CALL_MS));
  const close = (): void => {
    peer.close();
    standIn.close();
  };
  return { standIn, ask, close };
};

// Guards against a process that takes its own delay for the silence of a peer.
test.serial('should wait for an answer as long as the process itself was late', async (t) => {
  const { standIn, ask, close } = await connect();
  t.teardown(close);
  await ask('/first');
  const pending = ask('/busy');
  keepBusy(BUSY_MS);
  t.true((await pending).ok);
  t.is(standIn.callerPorts[0], standIn.callerPorts[1]);
});

// Guards against orders that are given up before their connection was even asked for.
test.serial('should open a connection although the process was late', async (t) => {
  const { ask, close } = await connect();
  t.teardown(close);
  const pending = ask('/busy');
  keepBusy(BUSY_MS);
  t.true((await pending).ok);
});

// Guards against answers that are thrown away because they were not read yet when their time was up.
test.serial('should take an answer that came while the process was busy', async (t) => {
  const { ask, close } = await connect((path) => {
    if (path === '/busy') setImmediate(() => keepBusy(BUSY_MS));
  });
  t.teardown(close);
  await ask('/first');
  t.true((await ask('/busy')).ok);
});
