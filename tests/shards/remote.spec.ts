import { Server, ServerCredentials } from '@grpc/grpc-js';
import test from 'ava';
import { Failure } from 'samphirenotch/failure.js';
import { PeerChannels } from 'samphirenotch/membership/peerChannels.js';
import { PeerTable } from 'samphirenotch/membership/peerTable.js';
import { NEVER_STARTED, type AttemptReport } from 'samphirenotch/infrastructure/worker.js';
import { Err, Ok } from 'samphirenotch/results.js';
import { GrpcShardService } from 'samphirenotch/shards/grpcShardService.js';
import { RemoteShardService } from 'samphirenotch/shards/remoteShardService.js';
import type { Reservation, ShardService } from 'samphirenotch/shards/shardService.js';
import { callWithin } from 'samphirenotch/time/call.js';
import { SystemClock } from 'samphirenotch/time/clock.js';

import { attemptOrder } from '../fixtures/platform.js';
import { placementRequest, SHARD } from '../fixtures/shardSite.js';

const SIZE = { milliCores: 1000, memoryMb: 1000, accelerators: 0 };
const RESERVATION: Reservation = {
  reservationId: 'r1',
  shard: SHARD,
  epoch: 2 ** 40,
  workerId: 'w1',
  size: SIZE,
};
const REPORT: AttemptReport = {
  attemptId: 'a1',
  jobId: 'j1',
  partition: 'partition/timaru/0',
  taskClass: 'settlement',
  tenant: 'desk',
  size: SIZE,
  phase: 'stopped',
  detail: NEVER_STARTED,
};

/** Serves a shard service over gRPC on the loopback address, and returns a client for it. */
const serveOverGrpc = async (local: ShardService) => {
  const clock = new SystemClock();
  const server = new Server();
  new GrpcShardService(local, clock).register(server);
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) =>
      error ? reject(error) : resolve(bound),
    );
  });
  const load = { freeSlots: 0, queuedRequests: 0, services: [] };
  const table = new PeerTable(
    clock,
    { id: 'e1', dataCentre: 'timaru', address: 'x:1' },
    () => load,
  );
  const address = `127.0.0.1:${port}`;
  table.merge({ id: 'e2', dataCentre: 'timaru', address, leaving: false, load, ageMs: 0 });
  const channels = new PeerChannels(table);
  const close = (): void => {
    channels.close();
    server.forceShutdown();
  };
  return { clock, remote: new RemoteShardService(channels, clock), close };
};

const refusal = new Failure({
  code: 'not-owner',
  step: 'shard.start',
  peer: 'w1',
  effect: 'not-run',
  message: 'owned elsewhere',
  retryAfterMs: 7,
});

const localService = (): ShardService => ({
  shards: () => [],
  reserve: (shard, request) =>
    Promise.resolve(
      shard === SHARD && request.excludedWorkers.includes('w9')
        ? Ok({ kind: 'reserved', reservation: RESERVATION })
        : Ok({ kind: 'refused', reason: 'data-centre-out' }),
    ),
  cancelReservation: () => Promise.resolve(Ok(undefined)),
  start: (reservation, order) =>
    Promise.resolve(order.checkpoint === 'c' ? Ok(REPORT) : Err(refusal)),
  stop: (shard, workerId, attemptId, withCheckpoint) =>
    Promise.resolve(Ok(withCheckpoint ? { ...REPORT, checkpoint: 'c' } : REPORT)),
  find: () => Promise.resolve(Ok(undefined)),
});

// Guards against fields of reservations, reports and failures that are lost between two entries.
test('should carry reservations, starts and their failures to the owner and back unchanged', async (t) => {
  const { clock, remote, close } = await serveOverGrpc(localService());
  const call = callWithin(clock, 10_000);
  const request = placementRequest({ excludedWorkers: ['w9'] });
  const room = await remote.reserve('e2', SHARD, request, call);
  t.deepEqual(room.val, { kind: 'reserved', reservation: RESERVATION });
  const none = await remote.reserve('e2', SHARD, placementRequest(), call);
  t.deepEqual(none.val, { kind: 'refused', reason: 'data-centre-out' });
  const started = await remote.start('e2', RESERVATION, attemptOrder({ checkpoint: 'c' }), call);
  t.deepEqual(started.val, REPORT);
  const refused = await remote.start('e2', RESERVATION, attemptOrder(), call);
  const { code, step, effect, retryAfterMs } = refusal;
  t.like(refused.val, { code, step, effect, retryAfterMs });
  const target = { shard: SHARD, workerId: 'w1', attemptId: 'a1' };
  const stopped = await remote.stop('e2', { ...target, withCheckpoint: true }, call);
  t.deepEqual(stopped.val, { ...REPORT, checkpoint: 'c' });
  const found = await remote.find('e2', target, call);
  t.true(found.ok && found.val === undefined);
  close();
});

// Guards against a call that is reported as not carried out although it may have been, which would
// allow a second start.
test('should fail with not-run if nothing was sent, and with unknown if no answer came', async (t) => {
  const { clock, remote, close } = await serveOverGrpc({
    ...localService(),
    start: () => new Promise(() => {}),
  });
  const unknownPeer = await remote.find(
    'e9',
    { shard: SHARD, workerId: 'w', attemptId: 'a' },
    callWithin(clock, 1000),
  );
  t.like(unknownPeer.val, { effect: 'not-run' });
  const expired = await remote.start('e2', RESERVATION, attemptOrder(), callWithin(clock, 0));
  t.like(expired.val, { effect: 'not-run', code: 'deadline' });
  const unanswered = await remote.start('e2', RESERVATION, attemptOrder(), callWithin(clock, 300));
  t.like(unanswered.val, { effect: 'unknown', code: 'deadline' });
  const invalid = attemptOrder({ attemptId: '' });
  const refused = await remote.start('e2', RESERVATION, invalid, callWithin(clock, 1000));
  t.like(refused.val, { effect: 'not-run', code: 'invalid' });
  close();
});
