/**
 * Calls over HTTP of a process that is late itself.
 */
import test from 'ava';
import { SystemClock } from 'samphirenotch/time/clock.js';

import { connectToWorker } from '../fixtures/answeringWorker.js';
import { keepBusy } from '../fixtures/busyProcess.js';

const clock = new SystemClock();

/** Time for a call, and for which the event loop does nothing else meanwhile, in milliseconds. */
const CALL_MS = 200;
const BUSY_MS = 600;

// Guards against a process that takes its own delay for the silence of a worker.
test.serial('should wait for a worker as long as the process itself was late', async (t) => {
  const send = await connectToWorker(t, clock, (response) => response.end('answer'));
  const pending = send(CALL_MS);
  keepBusy(BUSY_MS);
  t.true((await pending).ok);
});

// Guards against answers that are thrown away because they were not read yet when their time was up.
test.serial('should take an answer of a worker that came while the process was busy', async (t) => {
  const send = await connectToWorker(t, clock, (response) => {
    setImmediate(() => keepBusy(BUSY_MS));
    response.end('answer');
  });
  t.true((await send(CALL_MS)).ok);
});
