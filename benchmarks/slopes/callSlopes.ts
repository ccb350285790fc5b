/**
 * Costs of calls to workers, and of a process that does nothing. Servers run in processes of their
 * own, so that only the caller is measured.
 *
 * @packageDocumentation
 */

import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { Readable } from 'node:stream';
import { fileURLToPath } from 'node:url';

import { HttpWorker } from 'samphirenotch/infrastructure/httpWorker.js';
import { callWithin } from 'samphirenotch/time/call.js';
import { SystemClock } from 'samphirenotch/time/clock.js';

import { fitLine } from '../support/statistics.js';
import type { Slope } from './measure.js';

const EPOCH = 1;
const CALLS = 1_600;
const TIMEOUT_MS = 5_000;
const LEASE_MS = 600_000;
const SIDE_BY_SIDE = 8;

const clock = new SystemClock();

const startChild = (name: string): ChildProcess =>
  fork(fileURLToPath(new URL(`./${name}.js`, import.meta.url)));

const firstMessage = async (child: ChildProcess): Promise<number> => {
  const [message] = (await once(child, 'message')) as [number];

  return message;
};

/** Processor time of this process for each of many calls, some side by side. */
const processorTime = async (call: (index: number) => Promise<unknown>): Promise<number> => {
  const before = process.cpuUsage();
  for (let start = 0; start < CALLS; start += SIDE_BY_SIDE) {
    const batch = Array.from({ length: SIDE_BY_SIDE }, (_, index) => call(start + index));
    await Promise.all(batch);
  }
  const { user, system } = process.cpuUsage(before);

  return (user + system) / CALLS;
};

const startAttempts = async (worker: HttpWorker, from: number, to: number): Promise<void> => {
  for (let index = from; index < to; index += 1) {
    const started = await worker.start(
      EPOCH,
      {
        attemptId: `attempt-${index}-0123456789abcdef`,
        jobId: `job-${index}-0123456789abcdef`,
        partition: 'nitra/partition-3',
        taskClass: 'season-plan',
        tenant: 'curators',
        size: { milliCores: 1_000, memoryMb: 1_024, accelerators: 0 },
        payload: JSON.stringify({ durationMs: LEASE_MS }),
        leaseMs: LEASE_MS,
      },
      callWithin(clock, TIMEOUT_MS),
    );
    if (!started.ok) throw started.val;
  }
};

const heartbeatOnce = async (worker: HttpWorker, attempts: number): Promise<void> => {
  const renewals = Array.from({ length: attempts }, (_, index) => ({
    attemptId: `attempt-${index}-0123456789abcdef`,
    leaseMs: LEASE_MS,
  }));
  const answer = await worker.heartbeat(EPOCH, renewals, [], callWithin(clock, TIMEOUT_MS));
  if (!answer.ok) throw answer.val;
};

const measureHeartbeats = async (worker: HttpWorker): Promise<Slope> => {
  const points: (readonly [number, number])[] = [];
  let running = 0;
  for (const attempts of [0, 10, 20, 40]) {
    await startAttempts(worker, running, attempts);
    running = attempts;
    await processorTime(() => heartbeatOnce(worker, attempts));
    points.push([attempts, await processorTime(() => heartbeatOnce(worker, attempts))]);
  }
  const { intercept, slope } = fitLine(points);
  const labels = { sizeOf: 'attempts at the worker', unit: 'us of processor' };

  return { name: 'heartbeat to a worker', ...labels, points, intercept, perItem: slope };
};

const executeOnce = async (worker: HttpWorker, index: number, bytes: number): Promise<void> => {
  const answer = await worker.execute(
    EPOCH,
    {
      requestId: `request-${bytes}-${index}-${Math.round(clock.monotonicMs() * 1_000)}`,
      service: 'rota-planner',
      taskClass: 'shift-swap',
      tenant: 'keepers',
      method: 'POST',
      path: '/swaps',
      headers: {},
      body: Readable.from([Buffer.alloc(bytes, 'x')]),
    },
    callWithin(clock, TIMEOUT_MS),
  );
  if (!answer.ok) throw answer.val;
  for await (const chunk of answer.val.body) {
    if (chunk === undefined) return;
  }
};

const measureRequests = async (worker: HttpWorker): Promise<Slope> => {
  const points: (readonly [number, number])[] = [];
  for (const bytes of [100, 1_000, 4_000, 16_000]) {
    await processorTime((index) => executeOnce(worker, index, bytes));
    points.push([bytes, await processorTime((index) => executeOnce(worker, index, bytes))]);
  }
  const { intercept, slope } = fitLine(points);
  const labels = { sizeOf: 'bytes of the body', unit: 'us of processor' };

  return { name: 'send of a request to a worker', ...labels, points, intercept, perItem: slope };
};

/**
 * Measures calls to a worker.
 *
 * @returns their slopes
 */
export const measureCalls = async (): Promise<Slope[]> => {
  const child = startChild('workerChild');
  const port = await firstMessage(child);
  const worker = new HttpWorker('worker-0', `127.0.0.1:${port}`, clock);
  try {
    const claimed = await worker.claim(EPOCH, callWithin(clock, TIMEOUT_MS));
    if (!claimed.ok) throw claimed.val;

    return [await measureRequests(worker), await measureHeartbeats(worker)];
  } finally {
    await worker.close();
    child.disconnect();
  }
};

/**
 * Measures the resident memory of a process that has loaded the library.
 *
 * @returns bytes
 */
export const measureFloor = async (): Promise<number> => firstMessage(startChild('floorChild'));
