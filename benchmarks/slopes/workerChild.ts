/**
 * A worker stand-in in a process of its own, for measurements of its callers: `workerChild`. Sends
 * its port to the parent, and ends with it.
 *
 * @packageDocumentation
 */

import type { AddressInfo } from 'node:net';

import { SystemClock } from 'samphirenotch/time/clock.js';
import { MemoryWorker } from 'samphirenotch-stand-ins/memoryWorker.js';
import { workerServer } from 'samphirenotch-stand-ins/workerServer.js';

const clock = new SystemClock();
const worker = new MemoryWorker(
  {
    id: 'worker-0',
    address: '127.0.0.1:0',
    dataCentre: 'nitra',
    rack: 'rack-0',
    capacity: { milliCores: 10_000_000, memoryMb: 100_000_000, accelerators: 0 },
    slots: 64,
    connections: 1_000,
    leaving: false,
  },
  clock,
  { append: () => {} },
);
const server = workerServer(worker, clock);

server.listen(0, '127.0.0.1', () => process.send?.((server.address() as AddressInfo).port));
process.on('disconnect', () => {
  server.close();
  server.closeAllConnections();
});
