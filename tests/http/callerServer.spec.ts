/**
 * The HTTP server for callers: limits, probes, and a stop that cuts nothing off.
 */
import { once } from 'node:events';
import { Agent, request as httpRequest, type IncomingMessage } from 'node:http';
import { text } from 'node:stream/consumers';
import test, { type ExecutionContext } from 'ava';
import { CallerServer } from 'samphirenotch/http/callerServer.js';
import type { HttpExchange } from 'samphirenotch/http/httpHandler.js';
import { DEFAULT_HTTP_LIMITS } from 'samphirenotch/http/httpLimits.js';
import { ManualClock } from 'samphirenotch/time/manualClock.js';

const GRACE_MS = 2_000;

const bench = async (t: ExecutionContext) => {
  const clock = new ManualClock();
  const exchanges: HttpExchange[] = [];
  const arrivals: (() => void)[] = [];
  const handle = async (exchange: HttpExchange): Promise<void> => {
    exchanges.push(exchange);
    arrivals.splice(0).forEach((wake) => wake());
  };
  const limits = { ...DEFAULT_HTTP_LIMITS, drainGraceMs: GRACE_MS, headerBytes: 2_048 };
  const handlers = [{ prefix: '/services', handle }];
  const server = new CallerServer({ handlers, clock, limits, isReady: () => true, name: 'entry' });
  const { port } = await server.listen('127.0.0.1', 0);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  t.teardown(() => {
    agent.destroy();
    server.abort();
  });
  const ask = async (path: string, headers = {}, via = agent): Promise<IncomingMessage> => {
    const asking = httpRequest({ port, path, headers, agent: via });
    asking.end();
    const [answer] = await once(asking, 'response');
    return answer as IncomingMessage;
  };
  const arrived = async (): Promise<HttpExchange> => {
    const before = exchanges.length;
    await new Promise<void>((resolve) => {
      arrivals.push(resolve);
    });
    const exchange = exchanges[before];
    if (!exchange) throw new Error('No request arrived.');
    return exchange;
  };
  return { clock, server, agent, ask, arrived };
};

test('should finish what is in progress and stop taking more when drained', async (t) => {
  const { clock, server, ask, arrived } = await bench(t);
  const arriving = arrived();
  const asking = ask('/services/a');
  const { response } = await arriving;
  response.write('first half, ');
  let isDrained = false;
  const draining = server.drain().then(() => {
    isDrained = true;
  });
  const other = new Agent();
  const ready = await ask('/readyz', {}, other);
  t.is(ready.statusCode, 503);
  ready.resume();
  const secondArriving = arrived();
  const second = ask('/services/b', {}, other);
  (await secondArriving).response.end('still served');
  const secondAnswer = await second;
  t.is(secondAnswer.headers.connection, 'close');
  t.is(await text(secondAnswer), 'still served');
  await clock.advance(GRACE_MS);
  await t.throwsAsync(ask('/services/c', {}, new Agent()));
  t.false(isDrained);
  response.end('second half');
  t.is(await text(await asking), 'first half, second half');
  while (!isDrained) await clock.advance(GRACE_MS);
  await draining;
  t.is(server.requestsInFlight, 0);
});

test('should ask a keep-alive caller to leave with the answer that was in progress', async (t) => {
  const { server, ask, arrived, clock } = await bench(t);
  const arriving = arrived();
  const asking = ask('/services/a');
  const { response } = await arriving;
  const draining = server.drain();
  response.end('done');
  const answer = await asking;
  t.is(answer.headers.connection, 'close');
  t.is(await text(answer), 'done');
  await clock.advance(GRACE_MS);
  await t.notThrowsAsync(draining);
});

test('should cancel the call when the caller goes away', async (t) => {
  const { agent, ask, arrived } = await bench(t);
  const arriving = arrived();
  const asking = ask('/services/a');
  const { call } = await arriving;
  const aborted = once(call.signal, 'abort');
  agent.destroy();
  await t.throwsAsync(asking);
  await t.notThrowsAsync(aborted);
});

test('should not cancel the call of an answer that was sent', async (t) => {
  const { ask, arrived } = await bench(t);
  const arriving = arrived();
  const asking = ask('/services/a');
  const { call, response } = await arriving;
  response.end('done');
  await text(await asking);
  t.false(call.signal.aborted);
});

test('should keep a well-formed request id and replace another', async (t) => {
  const { ask } = await bench(t);
  const kept = await ask('/none', { 'x-request-id': 'caller-7' });
  kept.resume();
  const replaced = await ask('/none', { 'x-request-id': 'a b' });
  t.is(kept.headers['x-request-id'], 'caller-7');
  t.regex(String(replaced.headers['x-request-id']), /^[0-9a-f-]{36}$/);
  t.is(kept.statusCode, 404);
});

test('should refuse headers and addresses that are too large', async (t) => {
  const { ask } = await bench(t);
  t.is((await ask('/services/a', { 'x-large': 'x'.repeat(4_000) })).statusCode, 431);
});
