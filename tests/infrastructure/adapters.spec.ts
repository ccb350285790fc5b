/**
 * Tests the HTTP clients of the key-value store and of workers against the stand-ins: above all,
 * that a failure says correctly whether the call may have taken effect.
 */
import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';
import { Readable } from 'node:stream';
import { text } from 'node:stream/consumers';

import test, { type ExecutionContext } from 'ava';
import { MemoryHistory } from 'samphirenotch-stand-ins/history.js';
import { MemoryKeyValueStore } from 'samphirenotch-stand-ins/memoryKeyValueStore.js';
import { MemoryWorker } from 'samphirenotch-stand-ins/memoryWorker.js';
import { platformServer } from 'samphirenotch-stand-ins/platformServer.js';
import { workerServer } from 'samphirenotch-stand-ins/workerServer.js';
import { HttpKeyValueStore } from 'samphirenotch/infrastructure/httpKeyValueStore.js';
import { HttpWorker } from 'samphirenotch/infrastructure/httpWorker.js';
import type { WorkerRequest } from 'samphirenotch/infrastructure/worker.js';
import { SystemClock } from 'samphirenotch/time/clock.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

import { attemptOrder, shortCall, workerListing } from '../fixtures/platform.js';

const clock = new SystemClock();

const listen = async (server: Server): Promise<string> => {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const startStore = async (t: ExecutionContext) => {
  const memory = new MemoryKeyValueStore(clock);
  const server = platformServer(memory, clock);
  const address = await listen(server);
  const store = new HttpKeyValueStore(address, clock);
  t.teardown(async () => {
    await store.close();
    server.close();
  });
  return { memory, server, store };
};

const startWorker = async (t: ExecutionContext) => {
  const history = new MemoryHistory();
  const memory = new MemoryWorker(workerListing(), clock, history);
  const server = workerServer(memory, clock);
  const address = await listen(server);
  const worker = new HttpWorker('w1', address, clock);
  t.teardown(async () => {
    await worker.close();
    server.close();
  });
  return { memory, history, server, worker };
};

const serviceRequest = (changes: Partial<WorkerRequest> = {}): WorkerRequest => ({
  requestId: 'r1',
  service: 'spot-desk',
  taskClass: 'price-check',
  tenant: 'growers',
  method: 'POST',
  path: '/echo?ms=1',
  headers: { 'content-type': 'text/plain' },
  body: Readable.from(['lot 7']),
  ...changes,
});

test('should swap a key only at the revision that was read', async (t) => {
  const { store } = await startStore(t);
  const first = await store.swap({ key: 'k', expectedRevision: 0, value: 'a' }, shortCall(clock));
  t.is(first.unwrap().kind, 'swapped');
  const second = await store.swap({ key: 'k', expectedRevision: 0, value: 'b' }, shortCall(clock));
  t.like(second.unwrap(), { kind: 'conflict', current: { value: 'a' } });
});

// A lost answer must not count as proof that nothing was written.
test('should report a lost answer as effect unknown although the write took effect', async (t) => {
  const { memory, store } = await startStore(t);
  memory.faults.loseAnswers = 1;
  const lost = await store.swap({ key: 'k', expectedRevision: 0, value: 'a' }, shortCall(clock));
  t.like(lost.val, { effect: 'unknown' });
  t.like((await store.get('k', shortCall(clock))).unwrap(), { value: 'a' });
});

test('should refuse calls above the rate limit as not run', async (t) => {
  const memory = new MemoryKeyValueStore(clock, { readsPerSecond: 1, writesPerSecond: 1 });
  await memory.get('k', shortCall(clock));
  t.like((await memory.get('k', shortCall(clock))).val, { effect: 'not-run', code: 'overloaded' });
});

test('should remove the keys of a lease that is not renewed in time', async (t) => {
  const manual = new ManualClock();
  const store = new MemoryKeyValueStore(manual);
  const leaseId = (await store.grantLease(20, shortCall(manual))).unwrap();
  const swap = { key: 'k', expectedRevision: 0, value: 'a', leaseId };
  const swapped = (await store.swap(swap, shortCall(manual))).unwrap();
  const revision = swapped.kind === 'swapped' ? swapped.revision : 0;
  const waiting = store.watch('k', revision, 900, shortCall(manual));
  await manual.advance(20);
  const [change] = (await waiting).unwrap().changes;
  t.is(change?.key, 'k');
  t.is(change?.value, undefined);
});

test('should report a refused connection as not run', async (t) => {
  const { server, worker } = await startWorker(t);
  server.close();
  await once(server, 'close');
  t.like((await worker.claim(1, shortCall(clock))).val, { effect: 'not-run' });
});

test('should pass the body of a request to the worker and return its answer', async (t) => {
  const { worker } = await startWorker(t);
  const answer = (await worker.execute(1, serviceRequest(), shortCall(clock))).unwrap();
  t.is(answer.requestId, 'r1');
  t.is(await text(answer.body), 'lot 7');
});

// A former owner that does not know about the takeover must not start anything.
test('should refuse commands and requests of an older epoch as not run', async (t) => {
  const { worker, history } = await startWorker(t);
  await worker.claim(5, shortCall(clock));
  const start = await worker.start(4, attemptOrder(), shortCall(clock));
  t.like(start.val, { code: 'stale-epoch', effect: 'not-run' });
  const request = await worker.execute(4, serviceRequest(), shortCall(clock));
  t.like(request.val, { code: 'stale-epoch', effect: 'not-run' });
  t.false(history.events.some(({ kind }) => kind === 'attempt-started'));
});

// A start command is repeated if its answer is lost; the attempt must not run twice.
test('should start an attempt once if the start command is repeated', async (t) => {
  const { worker, history } = await startWorker(t);
  await worker.start(1, attemptOrder(), shortCall(clock));
  await worker.start(1, attemptOrder(), shortCall(clock));
  t.is(history.events.filter(({ kind }) => kind === 'attempt-started').length, 1);
});
