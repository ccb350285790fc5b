/**
 * The platform stand-in over HTTP: key-value service, VM list, fault switches and counts.
 */
import type { Server } from 'node:http';

import type { WorkerListing } from 'samphirenotch/infrastructure/vmList.js';
import { Ok } from 'samphirenotch/results.js';
import type { Clock } from 'samphirenotch/time/clock.js';

import { jsonServer, type CommandHandler } from './jsonServer.js';
import type { MemoryKeyValueStore } from './memoryKeyValueStore.js';

const storeCommands = (store: MemoryKeyValueStore): Record<string, CommandHandler> => ({
  '/store/get': async ({ key }, call) => (await store.get(key, call)).map((item) => ({ item })),
  '/store/list': ({ prefix }, call) => store.list(prefix, call),
  '/store/swap': (swap, call) => store.swap(swap, call),
  '/store/remove': async ({ key, expectedRevision }, call) =>
    (await store.remove(key, expectedRevision, call)).map((value) => ({ value })),
  '/store/grantLease': async ({ timeToLiveMs }, call) =>
    (await store.grantLease(timeToLiveMs, call)).map((leaseId) => ({ leaseId })),
  '/store/renewLease': async ({ leaseId }, call) =>
    (await store.renewLease(leaseId, call)).map((value) => ({ value })),
  '/store/revokeLease': async ({ leaseId }, call) =>
    (await store.revokeLease(leaseId, call)).map((value) => ({ value })),
  '/store/watch': ({ prefix, afterRevision, holdMs }, call) =>
    store.watch(prefix, afterRevision, holdMs, call),
});

/**
 * Makes the server of the platform stand-in.
 *
 * @param store - the store behind it
 * @param clock - for deadlines
 * @returns the server, not yet listening
 */
export const platformServer = (store: MemoryKeyValueStore, clock: Clock): Server => {
  const workers = new Map<string, WorkerListing>();
  const commands: Record<string, CommandHandler> = {
    ...storeCommands(store),
    '/vms/list': async () => Ok({ workers: [...workers.values()] }),
    '/vms/put': async (listing) => {
      const worker = listing as unknown as WorkerListing;
      workers.set(worker.id, worker);
      return Ok({});
    },
    '/vms/remove': async ({ id }) => Ok({ removed: workers.delete(id) }),
    '/control/faults': async (faults) => Ok(Object.assign(store.faults, faults)),
    '/control/counts': async () => Ok(store.meter.counts()),
  };
  return jsonServer({ commands, raw: {} }, clock);
};
