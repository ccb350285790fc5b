/**
 * Clients of the platform's store and workers, against stand-ins.
 */
import test from 'ava';
import { callWithin } from 'samphirenotch/time/call.js';
import { SystemClock } from 'samphirenotch/time/clock.js';

import { HttpPeer } from '../../platform/httpPeer.js';
import { PlatformPolicy } from '../../platform/platformPolicy.js';
import { PlatformStore } from '../../platform/platformStore.js';
import { PlatformWorkers } from '../../platform/platformWorkers.js';
import { startStandIn, type StandInAnswer } from '../fixtures/httpStandIn.js';

const clock = new SystemClock();

/** Long enough that only silence ends a call. */
const call = () => callWithin(clock, 20_000);

const encode = (text: string): string => Buffer.from(text).toString('base64');

const withStore = async (answer: (path: string) => StandInAnswer) => {
  const standIn = await startStandIn(({ path }) => answer(path));
  return { standIn, store: new PlatformStore(standIn.address, clock) };
};

test('should read all pages of a listing', async (t) => {
  const { standIn, store } = await withStore((path) => {
    const second = path.includes('After=');
    const key = second ? 'a/2' : 'a/1';
    return {
      status: 200,
      body: {
        items: [{ Key: key, Value: encode(key), Revision: 3 }],
        HasMore: !second,
        StoreRevision: second ? 9 : 7,
      },
    };
  });
  const listing = await store.list('a/', call());
  t.true(listing.ok);
  if (listing.ok) {
    t.deepEqual(
      listing.val.items.map(({ value }) => value),
      ['a/1', 'a/2'],
    );
    t.is(listing.val.revision, 7);
  }
  await store.close();
  standIn.close();
});

test('should tell refused transactions from those in doubt', async (t) => {
  const answers: StandInAnswer[] = [
    { status: 429 },
    { status: 503 },
    { status: 500 },
    { status: 412, body: { items: [{ Key: 'k', Value: encode('v'), Revision: 4 }] } },
    { status: 404 },
    { status: 200, body: { Revision: 8 } },
  ];
  const { standIn, store } = await withStore(() => answers.shift());
  const commit = () =>
    store.commit({ expectations: [], writes: [{ key: 'k', value: 'v' }], removals: [] }, call());
  const outcomes = [];
  while (answers.length > 0) outcomes.push(await commit());
  t.deepEqual(
    outcomes.map((outcome) => (outcome.ok ? outcome.val.kind : outcome.val.effect)),
    ['not-run', 'not-run', 'unknown', 'conflict', 'lease-ended', 'committed'],
  );
  await store.close();
  standIn.close();
});

test('should report a transaction without an answer as in doubt, and use a new connection', async (t) => {
  let silent = true;
  const { standIn, store } = await withStore(() =>
    silent ? undefined : { status: 200, body: { Revision: 8 } },
  );
  const transaction = { expectations: [], writes: [{ key: 'k', value: 'v' }], removals: [] };
  const first = await store.commit(transaction, callWithin(clock, 50));
  t.true(first.err && first.val.effect === 'unknown');
  silent = false;
  const second = await store.commit(transaction, call());
  t.true(second.ok);
  t.not(standIn.callerPorts[0], standIn.callerPorts[1]);
  await store.close();
  standIn.close();
});

test('should say when a watch must list again', async (t) => {
  const { standIn, store } = await withStore(() => ({ status: 410 }));
  const batch = await store.watch('a/', 5, 10, call());
  t.true(batch.ok && batch.val.compacted);
  await store.close();
  standIn.close();
});

test('should give removed keys no value', async (t) => {
  const { standIn, store } = await withStore(() => ({
    status: 200,
    body: {
      events: [
        { Key: 'a', Value: encode('x'), Revision: 6 },
        { Key: 'b', Revision: 7, Removed: true },
      ],
      StoreRevision: 7,
    },
  }));
  const batch = await store.watch('', 5, 10, call());
  t.deepEqual(batch.ok && batch.val.changes, [
    { key: 'a', revision: 6, value: 'x' },
    { key: 'b', revision: 7 },
  ]);
  await store.close();
  standIn.close();
});

test('should name the life of the worker and read what it says', async (t) => {
  const standIn = await startStandIn(() => ({
    status: 200,
    body: {
      ClockMs: 500,
      born: 9,
      Running: [['j.0.0.1', 2, 'c1', 40, 1_200]],
      Finished: [[3, 'j.0.0.0', 1, 'failed', '']],
    },
  }));
  const worker = new PlatformWorkers(clock).connect('i-1', standIn.address);
  const outcome = await worker.hold({ fencingToken: 4, acknowledged: 2, waitMs: 0 }, call());
  t.true(outcome.ok && outcome.val.kind === 'held');
  if (outcome.ok && outcome.val.kind === 'held') {
    const { holding } = outcome.val;
    t.is(holding.bornMs, 9);
    t.deepEqual(holding.running, [
      { taskId: 'j.0.0.1', run: 2, checkpoint: 'c1', percent: 40, gauge: 1_200 },
    ]);
    t.is(holding.ends[0]?.kind, 'failed');
  }
  t.is(standIn.received[0]?.headers['samphirenotch-expected-instance'], 'i-1');
  t.deepEqual(standIn.received[0]?.body, { FenceToken: 4, LastSeen: 2 });
  worker.close();
  standIn.close();
});

// Guards against an error that ends the agent of a worker instead of a failed call.
test('should report a call to an address that is none, or under a bad id, as not sent', async (t) => {
  const addresses = ['10.0.0.1:65536', '%zz:80', 'a/b:80', 'h?x:80'];
  const targets = [...addresses.map((address) => ['i-1', address]), ['i\n1', '127.0.0.1:9']];
  for (const [id = '', address = ''] of targets) {
    const worker = new PlatformWorkers(clock).connect(id, address);
    const outcome = await worker.hold({ fencingToken: 4, acknowledged: 0, waitMs: 0 }, call());
    t.true(outcome.err && outcome.val.effect === 'not-run', `${id} at ${address}`);
    worker.close();
  }
});

test('should tell the outcomes of an order apart', async (t) => {
  const answers: StandInAnswer[] = [
    { status: 200, body: { ClockMs: 1 } },
    { status: 409, body: { ClockMs: 1, Reason: 'fence' } },
    { status: 409, body: { ClockMs: 1, Reason: 'old' } },
    { status: 409, body: { ClockMs: 1, Reason: 'late' } },
    { status: 409, body: { ClockMs: 1, Reason: 'room' } },
    { status: 409, body: { ClockMs: 1, Reason: 'ticket' } },
    { status: 421 },
    { status: 503 },
    { status: 400 },
  ];
  const standIn = await startStandIn(() => answers.shift());
  const worker = new PlatformWorkers(clock).connect('i-1', standIn.address);
  const outcomes: unknown[] = [];
  while (answers.length > 0) {
    const answer = await worker.start(
      { taskId: 'j.0.0.0', run: 1, spec: '', leaseUntilMs: 9, fencingToken: 4, checkpoint: '' },
      call(),
    );
    outcomes.push(answer.ok ? answer.val.outcome : answer.val.effect);
  }
  t.deepEqual(outcomes, [
    'done',
    'stale-token',
    'superseded',
    'late',
    'no-room',
    'no-ticket',
    'other-life',
    'unhealthy',
    'invalid',
  ]);
  worker.close();
  standIn.close();
});

test('should read the decisions of the policy service', async (t) => {
  const standIn = await startStandIn(() => ({
    status: 200,
    body: { Allowed: [['w1', 'ticket-1']], ValidityMs: 3_000 },
  }));
  const policy = new PlatformPolicy(standIn.address, clock);
  const decision = (await policy.decide('a1.0.1', ['w1', 'w2'], call())).unwrap();
  t.deepEqual([...decision.tickets], [['w1', 'ticket-1']]);
  t.is(decision.validMs, 3_000);
  t.deepEqual(standIn.received[0]?.body, { Step: 'a1.0.1', Workers: ['w1', 'w2'] });
  standIn.close();
});

test('should tell a call that the policy service turned away from one in doubt', async (t) => {
  const answers: StandInAnswer[] = [{ status: 429 }, { status: 200, body: { Allowed: 3 } }];
  const standIn = await startStandIn(() => answers.shift());
  const policy = new PlatformPolicy(standIn.address, clock);
  const away = await policy.decide('a1.0.1', ['w1'], call());
  const broken = await policy.decide('a1.0.1', ['w1'], call());
  t.true(away.err && away.val.effect === 'not-run');
  t.true(broken.err && broken.val.effect === 'unknown');
  standIn.close();
});

test('should never send what was given up while it waited for a connection', async (t) => {
  const seen: string[] = [];
  const standIn = await startStandIn(({ path }) => {
    seen.push(path);
    return path === '/slow' ? undefined : { status: 200, body: {} };
  });
  const peer = new HttpPeer('worker', standIn.address, 1, clock);
  const slow = peer.send({ step: 'slow', method: 'GET', path: '/slow' }, callWithin(clock, 400));
  const given = await peer.send(
    { step: 'queued', method: 'POST', path: '/queued', body: {} },
    callWithin(clock, 100),
  );
  t.is(given.err && given.val.effect, 'not-run');
  t.regex(given.err ? given.val.message : '', /no answer in time, not sent, timer \d+ ms late/u);
  const ended = await slow;
  t.is(ended.err && ended.val.effect, 'unknown');
  t.regex(ended.err ? ended.val.message : '', /no answer in time, sent \d+ ms ago/u);
  const next = await peer.send({ step: 'next', method: 'GET', path: '/next' }, call());
  t.true(next.ok);
  t.deepEqual(seen, ['/slow', '/next']);
  peer.close();
  standIn.close();
});

// Guards against calls that ended while they waited for a connection and take that connection with them.
test('should keep connections when calls end before they had one', async (t) => {
  const standIn = await startStandIn(() => ({ status: 200, body: {} }));
  const peer = new HttpPeer('worker', standIn.address, 1, clock);
  const ask = (signal?: AbortSignal) =>
    peer.send({ step: 'ask', method: 'GET', path: '/' }, callWithin(clock, 20_000, signal));
  t.true((await ask()).ok);
  const given = new AbortController();
  const first = ask();
  const waiting = Array.from({ length: 10 }, () => ask(given.signal));
  given.abort();
  t.true((await first).ok);
  t.true((await Promise.all(waiting)).every((end) => end.err && end.val.effect === 'not-run'));
  t.true((await ask()).ok);
  t.is(new Set(standIn.callerPorts).size, 1);
  peer.close();
  standIn.close();
});

// Guards against a silent call that fails others with it: they waited for its connection and were never sent.
test('should send calls that waited while connections were replaced after silence', async (t) => {
  const standIn = await startStandIn(({ path }) =>
    path === '/silent' ? undefined : { status: 200, body: {} },
  );
  const peer = new HttpPeer('worker', standIn.address, 1, clock);
  t.teardown(() => {
    peer.close();
    standIn.close();
  });
  const ask = (path: string, timeoutMs: number) =>
    peer.send({ step: 'ask', method: 'GET', path }, callWithin(clock, timeoutMs));
  const silent = ask('/silent', 200);
  const waiting = await Promise.all([ask('/one', 5_000), ask('/two', 5_000)]);
  t.deepEqual(
    waiting.map((end) => (end.err ? end.val.message : 'answered')),
    ['answered', 'answered'],
  );
  t.true((await silent).err);
});
