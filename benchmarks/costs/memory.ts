/**
 * Memory of an entry for each connection, request in progress and running job.
 *
 * @packageDocumentation
 */

import { once } from 'node:events';
import { connect, type Socket } from 'node:net';

import { pause, until, type SiteEntry } from 'samphirenotch-stand-ins/site/site.js';

import { entryUse, withSite, type CostSite } from './costSite.js';
import { slopeOf, type CostAxis, type Point, type Slope } from './slope.js';

const SUITE = 'memory';
const IDLE_CONNECTIONS = [0, 500, 1000, 2000, 4000];
const BUSY_CONNECTIONS = [0, 100, 200, 300, 400];
const RUNNING_JOBS = [0, 200, 400, 600, 800];
const WORKERS = 64;
const REST_MS = 2500;
const LONG_MS = 60_000;
const WAIT_SECONDS = 28;
const SUBMITTED_TOGETHER = 50;
const RUN_TIMEOUT_MS = 30_000;
const JOB_CLASS = 'lot-watcher';

interface TaskPage {
  readonly tasks: readonly unknown[];
}

const firstEntry = ({ site }: CostSite): SiteEntry => {
  const [entry] = site.entries;
  if (!entry) throw new Error('No entry runs.');
  return entry;
};

const grow = async (
  axis: CostAxis,
  running: CostSite,
  sizes: readonly number[],
  reach: (size: number) => Promise<unknown>,
): Promise<Slope> => {
  const points: Point[] = [];
  for (const size of sizes) {
    await reach(size);
    await pause(REST_MS);
    points.push([size, entryUse(firstEntry(running)).residentBytes]);
  }
  console.log(`${SUITE} ${axis.sizeAxis}: ${JSON.stringify(points)}`);
  return slopeOf(axis, points, SUITE);
};

const openTo = async (entry: SiteEntry, sockets: Socket[], size: number): Promise<void> => {
  const { port } = new URL(entry.origin);
  while (sockets.length < size) {
    const socket = connect(Number(port), '127.0.0.1');
    socket.on('error', () => undefined);
    sockets.push(socket);
    await once(socket, 'connect');
  }
};

const idleConnections = (): Promise<Slope> =>
  withSite([{ name: 'Ashburton', racks: [1], entries: 1 }], async (running) => {
    const sockets: Socket[] = [];
    const slope = await grow(
      { name: 'memory: idle connection', unit: 'bytes', sizeAxis: 'idle connections' },
      running,
      IDLE_CONNECTIONS,
      (size) => openTo(firstEntry(running), sockets, size),
    );
    const closed = sockets.filter(({ destroyed }) => destroyed).length;
    sockets.forEach((socket) => socket.destroy());
    if (closed > 0) throw new Error(`${closed} connections were closed early.`);
    return slope;
  });

const busyConnections = (): Promise<Slope> =>
  withSite([{ name: 'Ashburton', racks: [WORKERS], entries: 1 }], async (running) => {
    let sent = 0;
    const sendTo = async (size: number): Promise<void> => {
      for (; sent < size; sent += 1) {
        running.caller
          .send({
            service: 'spot-desk',
            taskClass: 'book-bid',
            tenant: 'desk',
            serviceMs: LONG_MS,
            body: 'x',
            waitSeconds: WAIT_SECONDS,
          })
          .catch(() => undefined);
      }
    };
    const slope = await grow(
      { name: 'memory: request in progress', unit: 'bytes', sizeAxis: 'requests in progress' },
      running,
      BUSY_CONNECTIONS,
      sendTo,
    );
    const early = running.caller.records.length;
    if (early > 0) throw new Error(`${early} requests ended early.`);
    return slope;
  });

const submitTo = async ({ caller }: CostSite, size: number): Promise<void> => {
  while (caller.tasks.length < size) {
    const count = Math.min(SUBMITTED_TOGETHER, size - caller.tasks.length);
    const payload = JSON.stringify({ runMs: 1000 * LONG_MS });
    const submissions = Array.from({ length: count }, () =>
      caller.submit({ taskClass: JOB_CLASS, tenant: 'growers', payload }),
    );
    await Promise.all(submissions);
  }
  await until(
    `${size} jobs to run`,
    async () => {
      const waiting = ['queued', 'starting'].map((state) =>
        caller.read<TaskPage>(`/tasks?state=${state}&limit=1`),
      );
      return (await Promise.all(waiting)).every((page) => page?.tasks.length === 0);
    },
    RUN_TIMEOUT_MS,
  );
};

const runningJobs = (): Promise<Slope> =>
  withSite([{ name: 'Ashburton', racks: [WORKERS], entries: 1 }], (running) =>
    grow(
      { name: 'memory: running job', unit: 'bytes', sizeAxis: 'running jobs' },
      running,
      RUNNING_JOBS,
      (size) => submitTo(running, size),
    ),
  );

/**
 * Measures the resident memory of an entry. A registered worker is in the suite `idleControl`.
 *
 * @returns slopes
 */
export const memory = async (): Promise<readonly Slope[]> => {
  const idle = await idleConnections();
  const busy = await busyConnections();
  return [idle, busy, await runningJobs()];
};
