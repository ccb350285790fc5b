/**
 * Requests through entries over HTTP and gRPC: whole answers, honest outcomes, one run for each key.
 */
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { connect } from 'node:net';
import { PassThrough, Readable } from 'node:stream';
import { json, text } from 'node:stream/consumers';
import test, { type ExecutionContext } from 'ava';
import { Failure } from 'samphirenotch/failure.js';
import { Err, Ok } from 'samphirenotch/results.js';
import { SystemClock } from 'samphirenotch/time/clock.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';
import { MemoryKeyValueStore } from 'samphirenotch-stand-ins/memoryKeyValueStore.js';
import { request } from 'undici';
import {
  introduce,
  startEntry,
  type EntryWish,
  type TestEntry,
} from '../fixtures/requestEntries.js';
import { answerTo, scriptedSlots, scriptedWorker, type Script } from '../fixtures/requests.js';

const CHECK = { tenant: 'growers', 'task-class': 'price-check' };
const SWAP = { tenant: 'growers', 'task-class': 'swap' };

const keyed = (key: string) => ({ ...SWAP, 'idempotency-key': key });

const site = (t: ExecutionContext) => {
  const clock = new SystemClock();
  const store = new MemoryKeyValueStore(clock);
  const owners = { current: '' };
  const enter = async (
    id: string,
    scripts: readonly Script[] = [],
    wish: Partial<EntryWish> = {},
  ) => {
    const workers = scripts.map((script, index) => scriptedWorker(`${id}-w${index}`, script));
    const slots = scriptedSlots(workers);
    const entry = await startEntry({ id, clock, store, owners, slots, ...wish });
    t.teardown(() => entry.kill());
    return { ...entry, workers };
  };
  return { store, enter };
};

const callerOf = (entry: TestEntry, headers: Record<string, string>, path = '/x') =>
  request(`${entry.url}/services/spot-desk${path}`, { method: 'POST', headers, body: 'ask' });

const problemOf = async (answer: Awaited<ReturnType<typeof request>>) => {
  const { outcome, earlier } = (await answer.body.json()) as Record<string, unknown>;
  return { status: answer.statusCode, outcome, ...(earlier === undefined ? {} : { earlier }) };
};

const echo: Script = async (sent) => answerTo(sent, `done ${await text(sent.body)}`);

const CHUNK = Buffer.alloc(64_000, 'barley');
const CHUNKS = 200;

function* largeBody(): Generator<Buffer> {
  for (let index = 0; index < CHUNKS; index += 1) yield CHUNK;
}

const digestOf = async (body: AsyncIterable<Buffer>, pause: () => Promise<unknown>) => {
  const hash = createHash('sha256');
  for await (const chunk of body) {
    hash.update(chunk);
    await pause();
  }
  return hash.digest('hex');
};

const noPause = (): Promise<void> => Promise.resolve();
const oneTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

test('should pass large bodies whole both ways through a forward with a slow reader', async (t) => {
  const { enter } = site(t);
  const front = await enter('front');
  const back = await enter('back', [
    async ({ requestId, body }) => Ok({ requestId, status: 200, headers: {}, body }),
  ]);
  introduce(front, back);
  const answer = await request(`${front.url}/services/spot-desk/x`, {
    method: 'POST',
    headers: CHECK,
    body: Readable.from(largeBody(), { objectMode: false }),
  });
  const want = await digestOf(Readable.from(largeBody(), { objectMode: false }), noPause);
  t.is(await digestOf(answer.body, oneTurn), want);
});

for (const where of ['direct', 'forwarded']) {
  test(`should break the connection of a caller whose answer is cut off, ${where}`, async (t) => {
    const { enter } = site(t);
    const cut: Script = async ({ requestId }) => {
      const body = new PassThrough();
      body.write('half', () => setImmediate(() => body.destroy(new Error('cut'))));
      return Ok({ requestId, status: 200, headers: {}, body });
    };
    const front = await enter('front', where === 'direct' ? [cut] : []);
    const back = await enter('back', where === 'direct' ? [] : [cut]);
    introduce(front, back);
    const answer = await callerOf(front, SWAP);
    t.is(answer.statusCode, 200);
    await t.throwsAsync(() => text(answer.body));
  });

  test(`should cancel the send when the caller leaves, ${where}`, async (t) => {
    const { enter } = site(t);
    let cancelled: Promise<unknown> = Promise.resolve();
    let begin: () => void = () => {};
    const begun = new Promise<void>((resolve) => {
      begin = resolve;
    });
    const hang: Script = (_request, { signal }) => {
      cancelled = once(signal, 'abort');
      begin();
      return new Promise(() => {});
    };
    const front = await enter('front', where === 'direct' ? [hang] : []);
    const back = await enter('back', where === 'direct' ? [] : [hang]);
    introduce(front, back);
    const caller = new AbortController();
    const url = `${front.url}/services/spot-desk/x`;
    const headers = { ...SWAP, prefer: 'wait=3000' };
    const asking = request(url, { headers, signal: caller.signal });
    await begun;
    caller.abort();
    await t.throwsAsync(asking, { any: true });
    await t.notThrowsAsync(cancelled);
  });

  test(`should call a send that outlasts its deadline unknown, ${where}`, async (t) => {
    const { enter } = site(t);
    const hang: Script = () => new Promise(() => {});
    const front = await enter('front', where === 'direct' ? [hang] : []);
    const back = await enter('back', where === 'direct' ? [] : [hang]);
    introduce(front, back);
    const answer = await callerOf(front, { ...SWAP, prefer: 'wait=0.05' });
    t.deepEqual(await problemOf(answer), { status: 504, outcome: 'unknown' });
  });
}

test('should never forward a forwarded request again', async (t) => {
  const { enter } = site(t);
  const front = await enter('front');
  const back = await enter('back');
  introduce(front, back);
  for (const [entry, other] of [
    [front, back],
    [back, front],
  ] as const) {
    const [peer] = entry.peers.splice(0);
    if (peer) entry.peers.push({ ...peer, load: { ...peer.load, services: ['spot-desk'] } });
    t.is(entry.peers[0]?.id, other.id);
  }
  const answer = await callerOf(front, SWAP);
  t.truthy(answer.headers['retry-after']);
  t.deepEqual(await problemOf(answer), { status: 503, outcome: 'not-run' });
});

test('should run one of two requests with the same key that come at once', async (t) => {
  const { enter } = site(t);
  let finish: () => void = () => {};
  const held = new Promise<void>((resolve) => {
    finish = resolve;
  });
  const slow: Script = async (sent) => {
    await held;
    return answerTo(sent, 'swapped');
  };
  const front = await enter('front', [slow]);
  const back = await enter('back', [slow]);
  introduce(front, back);
  await back.own();
  const asking = [callerOf(front, keyed('k1')), callerOf(back, keyed('k1'))];
  const loser = await Promise.race(asking);
  t.deepEqual(await problemOf(loser), { status: 409, outcome: 'unknown', earlier: 'running' });
  finish();
  const statuses = (await Promise.all(asking)).map(({ statusCode }) => statusCode).sort();
  t.deepEqual(statuses, [200, 409]);
  t.is([front, back].flatMap(({ workers }) => workers).flatMap(({ sent }) => sent).length, 1);
});

test('should answer a repeated key from the first run, through any entry', async (t) => {
  const { enter } = site(t);
  const front = await enter('front', [echo]);
  const back = await enter('back', [echo]);
  introduce(front, back);
  await back.own();
  t.is(await text((await callerOf(front, keyed('k1'))).body), 'done ask');
  const answer = await callerOf(back, keyed('k1'));
  t.is(answer.headers['idempotency-replayed'], 'true');
  t.is(await text(answer.body), 'done ask');
  t.is(front.workers[0]?.sent.length, 1);
  t.is(back.workers[0]?.sent.length, 0);
});

test('should not run a key again after the death of its owner', async (t) => {
  const { enter } = site(t);
  const lost: Script = () => Promise.reject(new Error('ECONNRESET'));
  const front = await enter('front', [lost]);
  const back = await enter('back', [echo]);
  introduce(front, back);
  await back.own();
  const first = await callerOf(front, keyed('k1'));
  t.deepEqual(await problemOf(first), { status: 503, outcome: 'unknown' });
  back.kill();
  await front.own();
  const second = await callerOf(front, keyed('k1'));
  t.deepEqual(await problemOf(second), { status: 409, outcome: 'unknown', earlier: 'unknown' });
  t.is(front.workers[0]?.sent.length, 1);
});

test('should not run a key again when the answer of the worker was lost', async (t) => {
  const { enter } = site(t);
  const front = await enter('front', [() => Promise.reject(new Error('ECONNRESET'))]);
  await front.own();
  const first = await callerOf(front, keyed('k1'));
  t.deepEqual(await problemOf(first), { status: 503, outcome: 'unknown' });
  const second = await callerOf(front, keyed('k1'));
  t.deepEqual(await problemOf(second), { status: 409, outcome: 'unknown', earlier: 'unknown' });
  t.is(front.workers[0]?.sent.length, 1);
});

test('should send nothing from the queue to a worker that may no longer be used', async (t) => {
  const { enter } = site(t);
  let finish: () => void = () => {};
  const held = new Promise<void>((resolve) => {
    finish = resolve;
  });
  const slow: Script = async (sent) => {
    await held;
    return answerTo(sent, 'done');
  };
  const front = await enter('front', [slow]);
  const first = callerOf(front, SWAP);
  while (front.slots.freeSlots() > 0) await oneTurn();
  const waiting = callerOf(front, SWAP);
  while (front.router.queuedRequests === 0) await oneTurn();
  front.slots.allowSends(false);
  finish();
  t.is((await first).statusCode, 200);
  t.deepEqual(await problemOf(await waiting), { status: 503, outcome: 'not-run' });
  t.is(front.workers[0]?.sent.length, 1);
});

test('should place waiting requests elsewhere when the workers change hands', async (t) => {
  const { enter } = site(t);
  const front = await enter('front', [() => new Promise(() => {})]);
  const back = await enter('back', [echo]);
  callerOf(front, SWAP).catch(() => {});
  while (front.slots.freeSlots() > 0) await oneTurn();
  await front.own();
  const waiting = callerOf(front, keyed('k1'));
  while (front.router.queuedRequests === 0) await oneTurn();
  introduce(front, back);
  front.slots.handOver();
  t.is(await text((await waiting).body), 'done ask');
  t.is(back.workers[0]?.sent.length, 1);
});

test('should run a key again whose first request was proved not to have run', async (t) => {
  const { enter } = site(t);
  let refusals = 1;
  const script: Script = async (sent) => {
    refusals -= 1;
    const detail = { code: 'unavailable', step: 'worker.execute', peer: 'w' } as const;
    if (refusals >= 0)
      return Err(new Failure({ ...detail, effect: 'not-run', message: 'leaving' }));
    return answerTo(sent, 'swapped');
  };
  const front = await enter('front', [script]);
  await front.own();
  t.deepEqual(await problemOf(await callerOf(front, keyed('k1'))), {
    status: 503,
    outcome: 'not-run',
  });
  t.is(await text((await callerOf(front, keyed('k1'))).body), 'swapped');
});

test('should refuse a keyed request at once and send nothing while the store is out', async (t) => {
  const { enter, store } = site(t);
  const front = await enter('front', [echo]);
  await front.own();
  t.is(await text((await callerOf(front, keyed('k0'))).body), 'done ask');
  store.faults.down = true;
  const refused = await callerOf(front, keyed('k1'));
  t.truthy(refused.headers['retry-after']);
  t.deepEqual(await problemOf(refused), { status: 503, outcome: 'not-run' });
  t.is(await text((await callerOf(front, CHECK)).body), 'done ask');
  t.is(await text((await callerOf(front, SWAP)).body), 'done ask');
  t.is(front.workers[0]?.sent.length, 3);
});

test('should call a request unknown whose peer dies after the send', async (t) => {
  const { enter } = site(t);
  const front = await enter('front');
  let kill: () => void = () => {};
  const back = await enter('back', [
    () => {
      kill();
      return new Promise(() => {});
    },
  ]);
  kill = () => back.kill();
  introduce(front, back);
  t.deepEqual(await problemOf(await callerOf(front, SWAP)), { status: 503, outcome: 'unknown' });
  t.is(back.workers[0]?.sent.length, 1);
});

test('should send nothing for a request that was refused in the queue', async (t) => {
  const { enter } = site(t);
  let finish: () => void = () => {};
  const held = new Promise<void>((resolve) => {
    finish = resolve;
  });
  const slow: Script = async (sent) => {
    await held;
    return answerTo(sent, 'done');
  };
  const front = await enter('front', [slow], { queueLimit: 1 });
  const first = callerOf(front, SWAP);
  while (front.slots.freeSlots() > 0) await oneTurn();
  const late = await callerOf(front, { ...SWAP, prefer: 'wait=0.05' });
  t.deepEqual(await problemOf(late), { status: 504, outcome: 'not-run' });
  const waiting = callerOf(front, SWAP);
  while (front.router.queuedRequests === 0) await oneTurn();
  const refused = await callerOf(front, SWAP);
  t.truthy(refused.headers['retry-after']);
  t.deepEqual(await problemOf(refused), { status: 503, outcome: 'not-run' });
  finish();
  t.deepEqual([(await first).statusCode, (await waiting).statusCode], [200, 200]);
  t.is(front.workers[0]?.sent.length, 2);
});

// Guards against a tenant that gets more than its limit, or less; the clock is the test's, since on a real one
// a slow machine earns the tenant another request meanwhile.
test('should keep tenants within their limits and bodies within their size', async (t) => {
  const { enter } = site(t);
  const limit = { requestsPerSecond: 2, bodyBytes: 1_000 };
  // The rate earns nothing while the requests take their time.
  const clock = new ManualClock();
  const front = await enter('front', [echo], { limit, clock });
  const url = `${front.url}/services/spot-desk/x`;
  const chunked = Readable.from(largeBody(), { objectMode: false });
  const bodies = [Buffer.alloc(2_000), chunked];
  for (const body of bodies) {
    const answer = await request(url, { method: 'POST', headers: SWAP, body }).catch(
      () => undefined,
    );
    t.true(answer === undefined || answer.statusCode === 413);
  }
  const statuses = [];
  for (let index = 0; index < 3; index += 1) {
    const answer = await callerOf(front, SWAP);
    statuses.push(answer.statusCode);
    await answer.body.dump();
  }
  t.deepEqual(statuses, [200, 200, 429]);
  await clock.advance(500);
  const earned = await callerOf(front, SWAP);
  t.is(earned.statusCode, 200);
  await earned.body.dump();
});

test('should take in the rest of a body whose request was refused', async (t) => {
  const { enter } = site(t);
  const front = await enter('front');
  const { hostname, port } = new URL(front.url);
  const caller = connect(Number(port), hostname);
  const head = 'POST /services/spot-desk/x HTTP/1.1\r\nHost: entry\r\nTenant: growers\r\n';
  caller.write(`${head}Task-Class: swap\r\nContent-Length: ${CHUNK.length * CHUNKS}\r\n\r\n`);
  Readable.from(largeBody(), { objectMode: false }).pipe(caller, { end: false });
  const [answer] = (await once(caller, 'data')) as [Buffer];
  t.true(answer.toString().startsWith('HTTP/1.1 503'));
  while (caller.bytesWritten < CHUNK.length * CHUNKS) await oneTurn();
  caller.write('GET /healthz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n');
  const [next] = (await once(caller, 'data')) as [Buffer];
  t.true(next.toString().startsWith('HTTP/1.1 200'));
});

test('should name what is wrong with a request', async (t) => {
  const { enter } = site(t);
  const front = await enter('front', [echo]);
  const cases: readonly (readonly [string, Record<string, string>, number])[] = [
    ['/services/none/x', CHECK, 404],
    ['/services/spot-desk/x', { tenant: 'growers' }, 400],
    ['/services/spot-desk/x', { 'task-class': 'swap' }, 400],
    ['/services/spot-desk/x', { ...CHECK, prefer: 'wait=99999' }, 400],
    ['/services/spot-desk/x', { ...SWAP, 'idempotency-key': 'a b' }, 400],
  ];
  for (const [path, headers, status] of cases) {
    const answer = await request(`${front.url}${path}`, { headers });
    const problem = (await json(answer.body)) as { detail: string; outcome: string };
    t.is(answer.statusCode, status, problem.detail);
    t.is(problem.outcome, 'not-run');
  }
  t.is(front.workers[0]?.sent.length, 0);
});

test('should run a key once when the answer to its claim is lost', async (t) => {
  const { enter } = site(t);
  const front = await enter('front', [echo], { lostClaims: 1 });
  const back = await enter('back');
  introduce(front, back);
  await back.own();
  t.is(await text((await callerOf(front, keyed('k1'))).body), 'done ask');
  t.is((await callerOf(front, keyed('k1'))).headers['idempotency-replayed'], 'true');
  t.is(front.workers[0]?.sent.length, 1);
});

test('should give the key back when no answer to its claim comes through', async (t) => {
  const { enter } = site(t);
  const front = await enter('front', [echo], { lostClaims: 2 });
  const back = await enter('back');
  introduce(front, back);
  await back.own();
  const refused = await callerOf(front, keyed('k1'));
  t.deepEqual(await problemOf(refused), { status: 503, outcome: 'not-run' });
  t.is(front.workers[0]?.sent.length, 0);
  t.is(await text((await callerOf(front, keyed('k1'))).body), 'done ask');
});

const isListening = async (entry: TestEntry): Promise<boolean> => {
  const answer = await request(`${entry.url}/readyz`).catch(() => undefined);
  await answer?.body.dump();
  return answer !== undefined;
};

test('should finish streams and forwards when two entries stop at once', async (t) => {
  const { enter } = site(t);
  const bodies: PassThrough[] = [];
  const stream: Script = async ({ requestId }) => {
    const body = new PassThrough();
    body.write('first, ');
    bodies.push(body);
    return Ok({ requestId, status: 200, headers: {}, body });
  };
  const front = await enter('front');
  const back = await enter('back', [stream, stream]);
  introduce(front, back);
  const answers = await Promise.all([callerOf(front, SWAP), callerOf(back, SWAP)]);
  const stops = [front.stop(), back.stop()];
  for (const entry of [front, back]) {
    while (await isListening(entry)) await oneTurn();
  }
  bodies.forEach((body) => body.end('last'));
  const texts = await Promise.all(answers.map(({ body }) => text(body)));
  t.deepEqual(texts, ['first, last', 'first, last']);
  await Promise.all(stops);
  t.deepEqual([front.http.requestsInFlight, back.http.requestsInFlight], [0, 0]);
});
