/**
 * Forwards to peers that go silent, stop half way or answer nonsense.
 */
import { text } from 'node:stream/consumers';
import { credentials, Server, ServerCredentials, type ServerDuplexStream } from '@grpc/grpc-js';
import test, { type ExecutionContext } from 'ava';
import {
  RequestsServiceClient,
  RequestsServiceService,
  type ForwardRequest,
  type ForwardResponse,
} from 'samphirenotch/protocol/generated/samphirenotch/v1/requests.js';
import { ForwardClient } from 'samphirenotch/requests/forwardClient.js';
import type { ServiceOutcome } from 'samphirenotch/requests/serviceRequest.js';
import { callWithin } from 'samphirenotch/time/call.js';
import { SystemClock } from 'samphirenotch/time/clock.js';
import { countingRecorder, serviceRequest } from '../fixtures/requests.js';

type Stream = ServerDuplexStream<ForwardRequest, ForwardResponse>;

const TIMEOUT_MS = 300;

const forwardTo = async (
  t: ExecutionContext,
  answer: (stream: Stream) => void,
): Promise<ServiceOutcome> => {
  const server = new Server();
  server.addService(RequestsServiceService, { forward: answer });
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) => {
      if (error) reject(error);
      else resolve(bound);
    });
  });
  const client = new RequestsServiceClient(`127.0.0.1:${port}`, credentials.createInsecure());
  t.teardown(() => {
    client.close();
    server.forceShutdown();
  });
  const clock = new SystemClock();
  const clients = { client: <C>(): C => client as C };
  const forwards = new ForwardClient({ clients, clock, recorder: countingRecorder() });
  return forwards.forward(serviceRequest(), 'peer', callWithin(clock, TIMEOUT_MS));
};

test('should call a request unknown whose peer stays silent until the deadline', async (t) => {
  const outcome = await forwardTo(t, () => {});
  t.true(outcome.err && outcome.val.code === 'deadline' && outcome.val.effect === 'unknown');
});

test('should never end an answer as whole whose peer stops before the end', async (t) => {
  const outcome = await forwardTo(t, (stream) => {
    stream.write({ head: { status: 200, headers: [] }, chunk: undefined, end: undefined });
    stream.write({ head: undefined, chunk: Buffer.from('half'), end: undefined });
    stream.end();
  });
  await t.throwsAsync(() => text(outcome.unwrap().body));
});

test('should call a request unknown whose peer answers nonsense', async (t) => {
  const outcome = await forwardTo(t, (stream) => {
    stream.write({ head: { status: 7, headers: [] }, chunk: undefined, end: undefined });
    stream.end();
  });
  t.true(outcome.err && outcome.val.effect === 'unknown');
});
