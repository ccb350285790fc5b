/**
 * Tests that the deadline of a request to a worker limits the time until the answer begins, not the
 * time until it ends.
 */
import type { ServerResponse } from 'node:http';
import { text } from 'node:stream/consumers';

import test, { type ExecutionContext } from 'ava';
import { SystemClock } from 'samphirenotch/time/clock.js';

import { connectToWorker } from '../fixtures/answeringWorker.js';

const TIMEOUT_MS = 200;

const clock = new SystemClock();

const execute = async (t: ExecutionContext, answer: (response: ServerResponse) => void) => {
  const send = await connectToWorker(t, clock, answer);
  return send(TIMEOUT_MS);
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
