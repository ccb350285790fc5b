/**
 * Further sends of idempotent requests: elsewhere, within the budget, before the deadline.
 */
import { text } from 'node:stream/consumers';
import test from 'ava';
import type { RetryPolicy } from 'samphirenotch/decisions/retryPolicy.js';
import { Failure, type FailureDetail } from 'samphirenotch/failure.js';
import { SlotUse } from 'samphirenotch/requests/slotUse.js';
import { SendRace } from 'samphirenotch/requests/sendRace.js';
import type { ServiceOutcome } from 'samphirenotch/requests/serviceRequest.js';
import { WorkerExchange } from 'samphirenotch/requests/workerExchange.js';
import { Err } from 'samphirenotch/results.js';
import { callWithin } from 'samphirenotch/time/call.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';
import {
  answerTo,
  countingRecorder,
  idsInOrder,
  scriptedSlots,
  scriptedWorker,
  serviceRequest,
  type Script,
} from '../fixtures/requests.js';

const policyWith = (retries: number, hedgeDelayMs?: number): RetryPolicy => {
  let left = retries;
  return {
    recordFirstSend: () => {},
    tryRetry: () => {
      left -= 1;
      return left >= 0;
    },
    hedgeDelayMs: () => hedgeDelayMs,
    observeLatency: () => {},
  };
};

const failing =
  (effect: FailureDetail['effect']): Script =>
  async () =>
    Err(new Failure({ code: 'unavailable', step: 'worker', peer: 'w', effect, message: 'broken' }));

const silent: Script = () => new Promise(() => {});

const bench = (scripts: readonly Script[], policy: RetryPolicy) => {
  const clock = new ManualClock();
  const recorder = countingRecorder();
  const exchange = new WorkerExchange({ clock, recorder, newId: idsInOrder('send') });
  const targets = scripts.map((script, index) => scriptedWorker(`w${index}`, script));
  const slots = scriptedSlots(targets);
  const takeAnother = (excludedWorkers: readonly string[]): SlotUse | undefined => {
    const slot = slots.takeSlot({ service: '', taskClass: '', excludedWorkers });
    return slot && new SlotUse(slot, clock);
  };
  const run = (timeoutMs: number): Promise<ServiceOutcome> => {
    const call = callWithin(clock, timeoutMs, new AbortController().signal);
    const parts = { clock, recorder, exchange, policy, takeAnother };
    const first = takeAnother([]);
    if (!first) throw new Error('No slot is free.');
    return new SendRace(parts, serviceRequest(), call).run(first);
  };
  const sends = (): readonly number[] => targets.map(({ sent }) => sent.length);
  return { clock, slots, targets, run, sends };
};

const answering: Script = async (request) => answerTo(request, 'bid 410');

test('should send again to another worker after a failure', async (t) => {
  const { run, sends } = bench([failing('unknown'), answering], policyWith(1));
  const outcome = (await run(1_000)).unwrap();
  t.is(await text(outcome.body), 'bid 410');
  t.deepEqual(sends(), [1, 1]);
});

test('should not send again without budget', async (t) => {
  const { run, sends } = bench([failing('not-run'), answering], policyWith(0));
  const outcome = await run(1_000);
  t.true(outcome.err && outcome.val.effect === 'not-run');
  t.deepEqual(sends(), [1, 0]);
});

test('should not call a request not run if any of its sends may have run', async (t) => {
  const { run } = bench([failing('unknown'), failing('not-run')], policyWith(1));
  const outcome = await run(1_000);
  t.true(outcome.err && outcome.val.effect === 'unknown');
});

test('should send elsewhere when a worker stays silent, and cancel the silent send', async (t) => {
  const { clock, run, sends, slots, targets } = bench([silent, answering], policyWith(1));
  const running = run(1_000);
  await clock.advance(500);
  const outcome = (await running).unwrap();
  t.is(await text(outcome.body), 'bid 410');
  t.deepEqual(sends(), [1, 1]);
  t.true(targets[0]?.calls[0]?.signal.aborted);
  t.is(slots.released.length, 2);
  t.is(slots.freeSlots(), 2);
});

test('should send nothing more once the deadline has passed', async (t) => {
  const { clock, run, sends } = bench([silent, silent, answering], policyWith(5, 100));
  const running = run(100);
  await clock.advance(100);
  const outcome = await running;
  t.true(outcome.err && outcome.val.effect === 'unknown');
  await clock.advance(1_000);
  t.deepEqual(sends(), [1, 0, 0]);
});
