/**
 * Holding a process to a share of a processor.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import test from 'ava';

import { ProcessorLimit } from './processorLimit.js';

const SOME_PERIODS_MS = 450;

test('should stop and continue a process in turn until it is let go', async (t) => {
  const signals: string[] = [];
  const limit = new ProcessorLimit(0.5, (signal) => signals.push(signal));
  limit.hold();
  await sleep(SOME_PERIODS_MS);
  limit.release();
  const count = signals.length;
  t.true(count >= 2);
  signals.forEach((signal, at) => t.is(signal, at % 2 === 0 ? 'SIGSTOP' : 'SIGCONT'));
  await sleep(SOME_PERIODS_MS);
  t.is(signals.length, count);
});

test('should leave a process alone that has a whole processor', async (t) => {
  const limit = new ProcessorLimit(1, () => t.fail());
  limit.hold();
  await sleep(SOME_PERIODS_MS);
  t.pass();
});
