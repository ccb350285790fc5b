/**
 * The platform as an entry uses it.
 */
import { RateLimitedKeyValueStore } from '../membership/rateLimitedKeyValueStore.js';
import { HttpKeyValueStore } from '../infrastructure/httpKeyValueStore.js';
import { HttpVmList } from '../infrastructure/httpVmList.js';
import { HttpWorkerDirectory } from '../infrastructure/httpWorkerDirectory.js';
import type { VmList } from '../infrastructure/vmList.js';
import type { WorkerDirectory } from '../infrastructure/worker.js';
import type { EntrySettings } from '../settings/entrySettings.js';
import type { Clock } from '../time/clock.js';

/** Adapters to the platform and to workers. */
export interface PlatformParts {
  readonly store: RateLimitedKeyValueStore;
  readonly vmList: VmList;
  readonly workers: WorkerDirectory;
}

/**
 * Connects to the platform that the settings name.
 *
 * @param settings - settings of the entry
 * @param clock - the clock of the entry
 * @returns the adapters
 */
export const connectPlatform = (settings: EntrySettings, clock: Clock): PlatformParts => {
  const { address } = settings.platform;
  return {
    store: new RateLimitedKeyValueStore(new HttpKeyValueStore(address, clock), clock),
    vmList: new HttpVmList(address, clock),
    workers: new HttpWorkerDirectory(clock),
  };
};
