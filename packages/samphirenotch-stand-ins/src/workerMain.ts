#!/usr/bin/env node
/**
 * Runs worker stand-ins, several to a process: `workerMain PLATFORM HISTORY_FILE LISTINGS_JSON`.
 * Each listens on a port of its own and enters itself in the platform's VM list. Prints a line
 * with the listings once all listen.
 */
import { readFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';

import { SystemClock } from 'samphirenotch/time/clock.js';
import type { WorkerListing } from 'samphirenotch/infrastructure/vmList.js';
import { request } from 'undici';

import { FileHistory } from './fileHistory.js';
import { MemoryWorker } from './memoryWorker.js';
import { workerServer } from './workerServer.js';

const ADVANCE_INTERVAL_MS = 50;

const [, , platform = '', historyPath = '', listingsPath = ''] = process.argv;
const clock = new SystemClock();
const history = new FileHistory(historyPath);

const enlist = async (listing: WorkerListing): Promise<void> => {
  const body = JSON.stringify(listing);
  const response = await request(`http://${platform}/vms/put`, { method: 'POST', body });
  await response.body.dump();
};

const runWorker = async (listing: WorkerListing): Promise<WorkerListing> => {
  const worker = new MemoryWorker(listing, clock, history);
  const server = workerServer(worker, clock);
  const [host = '127.0.0.1', port = '0'] = listing.address.split(':');
  await new Promise<void>((resolve) => {
    server.listen(Number(port), host, resolve);
  });
  setInterval(() => worker.advance(), ADVANCE_INTERVAL_MS);
  const address = `${host}:${(server.address() as AddressInfo).port}`;
  const enlisted = { ...listing, address };
  await enlist(enlisted);
  return enlisted;
};

const listings = JSON.parse(readFileSync(listingsPath, 'utf8')) as WorkerListing[];
const running = await Promise.all(listings.map(runWorker));
console.log(JSON.stringify(running));
