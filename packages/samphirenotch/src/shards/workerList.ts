/**
 * Polls the platform's list of workers, and groups them into shards, one per rack.
 */
import { partLog } from '../observability/log.js';
import type { VmList, WorkerListing } from '../infrastructure/vmList.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';

const POLL_INTERVAL_MS = 1000;
const POLL_TIMEOUT_MS = 2000;

const log = partLog('workers');

/**
 * Returns the name of the shard that a worker belongs to.
 *
 * @param listing - the worker
 * @returns resource name of the shard
 */
export const shardOf = ({ dataCentre, rack }: WorkerListing): string =>
  `shard/${dataCentre}/${rack}`;

/** The workers of the last list that was read and accepted. */
export class WorkerList {
  private shards: ReadonlyMap<string, readonly WorkerListing[]> = new Map();

  private readonly listeners: (() => void)[] = [];

  /**
   * @param vmList - the platform's list
   * @param clock - for pauses and deadlines
   */
  constructor(
    private readonly vmList: VmList,
    private readonly clock: Clock,
  ) {}

  /**
   * Lists the shards that have workers.
   *
   * @returns resource names of the shards
   */
  shardNames(): readonly string[] {
    return [...this.shards.keys()];
  }

  /**
   * Lists the workers of a shard.
   *
   * @param shard - resource name of the shard
   * @returns its workers as the platform lists them
   */
  workersOf(shard: string): readonly WorkerListing[] {
    return this.shards.get(shard) ?? [];
  }

  /**
   * Registers a listener that is called after each successful reading of the list.
   *
   * @param listener - called without arguments
   */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Polls the list until the signal aborts.
   *
   * @param signal - ends the loop
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.poll(signal);
      await this.clock.sleep(POLL_INTERVAL_MS, signal);
    }
  }

  private async poll(signal: AbortSignal): Promise<void> {
    const call = callWithin(this.clock, POLL_TIMEOUT_MS, signal);
    const listed = await this.vmList.workers(call);
    if (!listed.ok) {
      log.debug('The list of VMs was not read.', { reason: listed.val.message });
      return;
    }
    // An empty list would stop all work, and is more likely a fault of the platform than the truth.
    if (listed.val.length === 0 && this.shards.size > 0) {
      log.warn('The list of VMs came back empty and is not used.');
      return;
    }
    const shards = new Map<string, WorkerListing[]>();
    listed.val.forEach((listing) => {
      const shard = shardOf(listing);
      shards.set(shard, [...(shards.get(shard) ?? []), listing]);
    });
    this.shards = shards;
    this.listeners.forEach((listener) => listener());
  }
}
