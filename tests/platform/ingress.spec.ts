/**
 * What callers are answered.
 */
import { connect, createServer } from 'node:net';

import test from 'ava';
import { JobEntry } from 'samphirenotch/jobs/entry/jobEntry.js';
import { DEFAULT_SETTINGS } from 'samphirenotch/jobs/model/jobSettings.js';
import { SilentRecorder } from 'samphirenotch/observability/recorder.js';
import { SystemClock } from 'samphirenotch/time/clock.js';
import { request } from 'undici';

import { Ingress } from '../../platform/ingress.js';
import { PlatformCodec } from '../../platform/platformCodec.js';
import { MemoryTaskWorkers } from '../fixtures/memoryTaskWorker.js';
import { MemoryStoreData, MemoryTransactionStore } from '../fixtures/memoryTransactionStore.js';

const ID = '00000000000000a1';
const JOB = { Spec: 'x', Steps: [{ Count: 1, Cpu: 100, MemMb: 10 }] };

const configuration = JSON.stringify({
  Version: 1,
  Routes: [{ Name: 'r', Host: 'desk.example', Prefix: '/runs/', Service: 's', MaxAttempts: 2 }],
  Limits: { MaxBodyBytes: 2_000 },
});

const freePort = (): Promise<number> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      server.close(() => resolve(typeof address === 'object' && address ? address.port : 0));
    });
  });

const makeIngress = async (isConfigured = true) => {
  const clock = new SystemClock();
  const data = new MemoryStoreData(clock);
  if (isConfigured) data.put('op/config', configuration);
  const store = new MemoryTransactionStore(data);
  const recorder = new SilentRecorder();
  const entry = new JobEntry({
    store,
    workers: new MemoryTaskWorkers(new Map(), 'a', clock),
    policy: undefined,
    codec: new PlatformCodec(),
    clock,
    recorder,
    entry: 'a',
    process: 'a-1',
    processStartedMs: clock.monotonicMs(),
    dataCentre: 'dc0',
    layoutSettleMs: 0,
    settings: DEFAULT_SETTINGS,
    holdLimitMs: 6_000,
    handoverMs: 4_000,
    processorShare: 1,
  });
  const ingress = new Ingress({ ...entry.callerApi, clock, recorder });
  const stopped = new AbortController();
  const running = entry.run(stopped.signal);
  const port = await freePort();
  await ingress.listen(`127.0.0.1:${port}`);
  while (isConfigured && !entry.isReady()) await clock.sleep(5);
  const ask = async (method: string, path: string, body?: string) => {
    const response = await request(`http://127.0.0.1:${port}${path}`, {
      method: method as 'GET',
      headers: { host: 'desk.example', connection: 'close' },
      body: body ?? null,
    });
    const retryAfter = response.headers['retry-after'];
    return { status: response.statusCode, retryAfter, body: await response.body.json() };
  };
  const close = async () => {
    stopped.abort();
    ingress.close();
    await running;
    entry.close();
  };
  return { ask, close, port, store, entry, clock };
};

test('should accept a job, tell its state and cancel it', async (t) => {
  const { ask, close } = await makeIngress();
  t.is((await ask('POST', `/runs/${ID}`, JSON.stringify(JOB))).status, 200);
  t.is((await ask('POST', `/runs/${ID}`, JSON.stringify(JOB))).status, 200);
  t.deepEqual((await ask('GET', `/runs/${ID}`)).body, { State: 'queued' });
  t.is((await ask('DELETE', `/runs/${ID}`)).status, 200);
  t.is((await ask('GET', '/runs/00000000000000ff')).status, 410);
  t.is((await ask('DELETE', '/runs/00000000000000ff')).status, 410);
  await close();
});

test('should answer bad requests clearly and go on serving', async (t) => {
  const { ask, close } = await makeIngress();
  t.is((await ask('POST', `/runs/${ID}`, '{"Steps":')).status, 400);
  t.is((await ask('POST', `/runs/${ID}`, JSON.stringify({ Steps: [] }))).status, 400);
  t.is((await ask('POST', `/runs/${ID}`, 'x'.repeat(3_000))).status, 413);
  t.is((await ask('POST', '/runs/short', JSON.stringify(JOB))).status, 404);
  t.is((await ask('GET', '/none/')).status, 404);
  t.is((await ask('PUT', `/runs/${ID}`, '{}')).status, 405);
  t.is((await ask('POST', `/runs/${ID}`, JSON.stringify(JOB))).status, 200);
  await close();
});

test('should survive a request that is broken off', async (t) => {
  const { ask, close, port } = await makeIngress();
  await new Promise<void>((resolve) => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(
        `POST /runs/${ID} HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 500\r\n\r\n{`,
      );
      socket.end();
    });
    socket.once('close', () => resolve());
    socket.resume();
  });
  t.is((await ask('GET', `/runs/${ID}`)).status, 410);
  t.is((await ask('POST', `/runs/${ID}`, JSON.stringify(JOB))).status, 200);
  await close();
});

test('should refuse at once, with a time to come back, before it has a configuration', async (t) => {
  const { ask, close } = await makeIngress(false);
  const answer = await ask('POST', `/runs/${ID}`, JSON.stringify(JOB));
  t.is(answer.status, 503);
  t.is(answer.retryAfter, '1');
  await close();
});

test('should not say that a job in doubt was refused', async (t) => {
  const { ask, close, store } = await makeIngress();
  store.failCommitsUnder('jobs/accepted/', 'silent', 'silent', 'silent', 'silent');
  t.is((await ask('POST', `/runs/${ID}`, JSON.stringify(JOB))).status, 504);
  store.failCommits();
  t.is((await ask('POST', `/runs/${ID}`, JSON.stringify(JOB))).status, 200);
  await close();
});
