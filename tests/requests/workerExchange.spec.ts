/**
 * One send to a worker: whole answers to the right request, honest outcomes, slots given back once.
 */
import { PassThrough, Readable } from 'node:stream';
import { buffer, text } from 'node:stream/consumers';
import test from 'ava';
import { Failure } from 'samphirenotch/failure.js';
import type { RequestStatus, WorkerAnswer } from 'samphirenotch/infrastructure/worker.js';
import { SlotUse } from 'samphirenotch/requests/slotUse.js';
import type { ServiceOutcome } from 'samphirenotch/requests/serviceRequest.js';
import { WorkerExchange } from 'samphirenotch/requests/workerExchange.js';
import { Err, Ok } from 'samphirenotch/results.js';
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

const bench = (script: Script, memory?: RequestStatus) => {
  const clock = new ManualClock();
  const recorder = countingRecorder();
  const exchange = new WorkerExchange({ clock, recorder, newId: idsInOrder('send') });
  const target = scriptedWorker('w1', script, memory);
  const slots = scriptedSlots([target]);
  const send = (timeoutMs = 1_000, signal?: AbortSignal): Promise<ServiceOutcome> => {
    const slot = slots.takeSlot({ service: '', taskClass: '', excludedWorkers: [] });
    if (!slot) throw new Error('No slot is free.');
    const call = callWithin(clock, timeoutMs, signal);
    const request = serviceRequest({ idempotent: memory === undefined });
    return exchange.send(request, new SlotUse(slot, clock), call);
  };
  return { clock, recorder, slots, target, send };
};

test('should pass a whole answer on and give the slot back once', async (t) => {
  const { slots, send } = bench(async (request) => answerTo(request, 'bid 410'));
  const outcome = (await send()).unwrap();
  t.is(await text(outcome.body), 'bid 410');
  t.deepEqual(
    slots.released.map(({ outcome: { kind } }) => kind),
    ['answered'],
  );
});

test('should drop and count an answer that comes after the deadline', async (t) => {
  let answer: () => void = () => {};
  const { clock, recorder, slots, send } = bench(
    (request) =>
      new Promise((resolve) => {
        answer = () => resolve(answerTo(request, 'stale bid'));
      }),
  );
  const sending = send(100);
  await clock.advance(100);
  const outcome = await sending;
  t.true(outcome.err && outcome.val.effect === 'unknown' && outcome.val.code === 'deadline');
  answer();
  await clock.advance(1);
  t.is(recorder.counts.get('requests_answers_dropped:late'), 1);
  t.deepEqual(
    slots.released.map(({ outcome: { kind } }) => kind),
    ['silent'],
  );
});

test('should never pass on the answer to another request', async (t) => {
  const { recorder, send } = bench(async (request) => {
    const answer = answerTo(request, 'bid of another grower').val;
    return Ok({ ...answer, requestId: 'send-0' });
  });
  const outcome = await send();
  t.true(outcome.err && outcome.val.effect === 'unknown');
  t.is(recorder.counts.get('requests_answers_dropped:foreign'), 1);
});

test('should give each send its own id when callers repeat theirs', async (t) => {
  const { target, slots, send } = bench(async (request) => answerTo(request, 'x'));
  await buffer((await send()).unwrap().body);
  t.is(slots.freeSlots(), 1);
  await buffer((await send()).unwrap().body);
  t.deepEqual(
    target.sent.map(({ requestId }) => requestId),
    ['send-1', 'send-2'],
  );
});

const cutAnswers: Readonly<Record<string, (answer: WorkerAnswer) => WorkerAnswer>> = {
  'ends before its announced length': (answer) => ({
    ...answer,
    headers: { 'content-length': '100' },
  }),
  'breaks off without an announced length': (answer) => ({
    ...answer,
    headers: {},
    body: Readable.from(
      (async function* cut() {
        yield Buffer.from('half');
        throw new Error('The connection broke.');
      })(),
      { objectMode: false },
    ),
  }),
};

for (const [title, cut] of Object.entries(cutAnswers)) {
  test(`should never end an answer as whole that ${title}`, async (t) => {
    const { slots, send } = bench(async (request) => Ok(cut(answerTo(request, 'half').val)));
    const outcome = (await send()).unwrap();
    await t.throwsAsync(() => buffer(outcome.body));
    t.deepEqual(
      slots.released.map(({ outcome: { kind } }) => kind),
      ['failed'],
    );
  });
}

test('should give up an answer that goes silent in its middle', async (t) => {
  const body = new PassThrough();
  const { clock, slots, send } = bench(async ({ requestId }) =>
    Ok({ requestId, status: 200, headers: {}, body }),
  );
  const outcome = (await send()).unwrap();
  body.write('half');
  const reading = t.throwsAsync(() => buffer(outcome.body));
  await clock.advance(240_000);
  await reading;
  t.is(slots.released.length, 1);
});

test('should send nothing once the right to the worker is lost', async (t) => {
  const { slots, target, send } = bench(async (request) => answerTo(request, 'x'));
  slots.allowSends(false);
  const outcome = await send();
  t.true(outcome.err && outcome.val.effect === 'not-run');
  t.is(target.sent.length, 0);
});

test('should send nothing after the deadline or after the caller left', async (t) => {
  const { target, send } = bench(async (request) => answerTo(request, 'x'));
  const late = await send(0);
  const left = await send(1_000, AbortSignal.abort());
  t.true(late.err && late.val.effect === 'not-run');
  t.true(left.err && left.val.effect === 'not-run');
  t.is(target.sent.length, 0);
});

test('should cancel the send when the caller leaves and not call it not run', async (t) => {
  const { clock, target, send } = bench(() => new Promise(() => {}));
  const caller = new AbortController();
  const sending = send(1_000, caller.signal);
  await clock.advance(1);
  caller.abort();
  const outcome = await sending;
  t.true(outcome.err && outcome.val.effect === 'unknown');
  t.true(target.calls[0]?.signal.aborted);
});

test('should take a refusal of the worker as proof and a broken connection as unknown', async (t) => {
  const failure = (effect: 'not-run' | 'unknown') =>
    new Failure({ code: 'unavailable', step: 'worker.execute', peer: 'w1', effect, message: '' });
  const refused = await bench(async () => Err(failure('not-run'))).send();
  const broken = await bench(() => Promise.reject(new Error('ECONNRESET'))).send();
  t.true(refused.err && refused.val.effect === 'not-run');
  t.true(broken.err && broken.val.effect === 'unknown');
});

for (const memory of ['never-seen', 'running', 'finished'] as const) {
  test(`should ask the worker after a broken send and stay at unknown, ${memory}`, async (t) => {
    const { send } = bench(() => Promise.reject(new Error('ECONNRESET')), memory);
    const outcome = await send();
    t.true(outcome.err && outcome.val.effect === 'unknown');
    t.true(outcome.err && outcome.val.reason.includes('The worker'));
  });
}
