/**
 * A store that counts calls and bytes of values.
 *
 * @packageDocumentation
 */

import type {
  ChangeBatch,
  KeyValue,
  KeyValueStore,
  Listing,
  Swap,
  SwapOutcome,
} from 'samphirenotch/infrastructure/keyValueStore.js';
import type { Failure } from 'samphirenotch/failure.js';
import type { Result } from 'samphirenotch/results.js';
import type { Call } from 'samphirenotch/time/call.js';

type Answer<T> = Promise<Result<T, Failure>>;

/** Passes calls on and counts them. */
export class CountedStore implements KeyValueStore {
  /** Calls that change something. */
  writes = 0;

  writtenBytes = 0;

  readBytes = 0;

  /**
   * @param store - where calls go
   */
  constructor(private readonly store: KeyValueStore) {}

  get maximumValueBytes(): number {
    return this.store.maximumValueBytes;
  }

  get(key: string, call: Call): Answer<KeyValue | undefined> {
    return this.store.get(key, call);
  }

  async list(prefix: string, call: Call): Answer<Listing> {
    const listing = await this.store.list(prefix, call);
    if (listing.ok) {
      this.readBytes += listing.val.items.reduce(
        (sum, { value }) => sum + Buffer.byteLength(value),
        0,
      );
    }
    return listing;
  }

  swap(swap: Swap, call: Call): Answer<SwapOutcome> {
    this.writes += 1;
    this.writtenBytes += Buffer.byteLength(swap.value);
    return this.store.swap(swap, call);
  }

  remove(key: string, expectedRevision: number, call: Call): Answer<boolean> {
    this.writes += 1;
    return this.store.remove(key, expectedRevision, call);
  }

  grantLease(timeToLiveMs: number, call: Call): Answer<string> {
    return this.store.grantLease(timeToLiveMs, call);
  }

  renewLease(leaseId: string, call: Call): Answer<boolean> {
    return this.store.renewLease(leaseId, call);
  }

  revokeLease(leaseId: string, call: Call): Answer<boolean> {
    return this.store.revokeLease(leaseId, call);
  }

  watch(prefix: string, after: number, holdMs: number, call: Call): Answer<ChangeBatch> {
    return this.store.watch(prefix, after, holdMs, call);
  }

  close(): Promise<void> {
    return this.store.close();
  }
}
