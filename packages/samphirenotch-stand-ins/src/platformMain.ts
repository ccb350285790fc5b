#!/usr/bin/env node
/**
 * Runs the platform stand-in: `platformMain ADDRESS PORT`. Prints its port once it listens.
 */
import type { AddressInfo } from 'node:net';

import { SystemClock } from 'samphirenotch/time/clock.js';

import { MemoryKeyValueStore } from './memoryKeyValueStore.js';
import { platformServer } from './platformServer.js';

const [, , host = '127.0.0.1', port = '0'] = process.argv;
const clock = new SystemClock();
const server = platformServer(new MemoryKeyValueStore(clock), clock);
server.listen(Number(port), host, () => {
  console.log((server.address() as AddressInfo).port);
});
