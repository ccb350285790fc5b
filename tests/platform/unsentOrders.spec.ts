/**
 * Checks orders that wait for a connection while the runs that they are for are stopped.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import test from 'ava';
import { OrderBatcher } from 'samphirenotch/jobs/workers/orderBatcher.js';
import { WorkerOrders } from 'samphirenotch/jobs/workers/workerOrders.js';
import { WorkerRuns } from 'samphirenotch/jobs/workers/workerRuns.js';
import { SystemClock } from 'samphirenotch/time/clock.js';

import { PlatformWorkers } from '../../platform/platformWorkers.js';
import { makeStep } from '../fixtures/jobSite.js';
import { makeOwnedStep, makeSilentAgent } from '../fixtures/silentFleet.js';

/** Number of starts that a client sends to one worker at once. */
const AT_ONCE = 4;

/**
 * Starts a worker that holds its answers back until released, and records the orders that it
 * receives.
 */
const startWorker = async () => {
  const received: string[] = [];
  const held: (() => void)[] = [];
  const waits: { readonly isDone: () => boolean; readonly resolve: () => void }[] = [];
  const check = (): void =>
    waits.forEach(({ isDone, resolve }) => {
      if (isDone()) resolve();
    });
  let isHolding = true;
  const server = createServer(async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const { Task } = JSON.parse(Buffer.concat(chunks).toString('utf8')) as { Task: string };
    received.push(`${request.url} ${Task}`);
    const answer = (): void => {
      response.end('{"ClockMs":1}');
    };
    if (isHolding) held.push(answer);
    else answer();
    check();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    received,
    check,
    release: () => {
      isHolding = false;
      held.forEach((answer) => answer());
    },
    until: (isDone: () => boolean) =>
      new Promise<void>((resolve) => {
        waits.push({ isDone, resolve });
        check();
      }),
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};

// Guards against a task that is started after its job was cancelled because its start order waited
// for a connection.
test.serial('should not send a start that is still waiting when its run is stopped', async (t) => {
  const clock = new SystemClock();
  const server = await startWorker();
  const worker = new PlatformWorkers(clock).connect('w0', server.address);
  const ended = new AbortController();
  t.teardown(() => {
    ended.abort();
    worker.close();
    server.close();
  });
  const runs = new WorkerRuns(clock);
  const agent = makeSilentAgent(clock);
  const orders = new WorkerOrders({
    id: 'w0',
    worker: () => worker,
    clock,
    fencingToken: 1,
    runs,
    batcher: new OrderBatcher(clock),
    signal: ended.signal,
    obstacleTo: () => undefined,
    extendLease: () => 1_000_000,
    onClockReading: () => undefined,
    toLocalMs: () => clock.monotonicMs(),
    onRunBegun: () => undefined,
    onRunLost: (run) => {
      runs.drop(run);
      server.check();
    },
    onWorkerGone: () => undefined,
    avoidFor: () => undefined,
    pollSoon: () => undefined,
    onStaleToken: () => undefined,
    onStartUnanswered: () => undefined,
    onTicketRefused: () => undefined,
  });
  const step = makeOwnedStep(makeStep({ count: AT_ONCE + 1 }));
  const started = step.tasks.map((task) => {
    const run = runs.add(agent, task, 1, step.spec.size, 'starting');
    orders.start(run, undefined);
    return run;
  });
  await server.until(() => server.received.length === AT_ONCE);
  const last = started.at(-1);
  if (!last) throw new Error('nothing was started');
  orders.stop(last, 'the job is cancelled');
  server.release();
  const isStopped = (): boolean =>
    !runs.has(last) || server.received.some((each) => each.startsWith('/v1/run-stop'));
  await server.until(isStopped);
  t.false(server.received.includes(`/v1/run-start ${last.task.id}`));
});
