/**
 * Writes and removes the keys in the store that record which entry owns a resource.
 */
import type { KeyValueStore } from '../infrastructure/keyValueStore.js';
import { callWithin } from '../time/call.js';
import type { Clock } from '../time/clock.js';
import type { Lease } from './lease.js';
import { OWNERS_PREFIX, parseOwnerRecord } from './storeKeys.js';

const SWAP_TIMEOUT_MS = 1000;
const READ_BACK_TIMEOUT_MS = 1000;
const REMOVE_TIMEOUT_MS = 1000;

/**
 * Outcome of an attempt to acquire a resource: `acquired` by this entry, `lost` to another write,
 * or `unknown` if the key could not be written or read back. Revision and value are those of the
 * key, if it is known to exist.
 */
export type AcquireOutcome =
  | { readonly kind: 'acquired'; readonly revision: number; readonly value: string }
  | { readonly kind: 'lost'; readonly revision?: number; readonly value?: string }
  | { readonly kind: 'unknown' };

/** Acquires and releases owner keys for this entry. */
export class OwnerKeys {
  private writeCount = 0;

  /**
   * @param store - the platform's store
   * @param clock - for deadlines
   * @param selfId - id of this entry
   */
  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly selfId: string,
  ) {}

  /**
   * Writes this entry as the owner by compare-and-swap. If the response is lost, the key is read
   * back and compared with the unique id of this write.
   *
   * @param resource - name of the resource
   * @param expectedRevision - last known revision of the key, 0 if it did not exist
   * @param lease - the lease that the key is attached to
   * @returns the outcome
   */
  async acquire(resource: string, expectedRevision: number, lease: Lease): Promise<AcquireOutcome> {
    this.writeCount += 1;
    const writeId = `${this.selfId}/${lease.id}/${this.writeCount}`;
    const value = JSON.stringify({ owner: this.selfId, lease: lease.id, writeId });
    const key = `${OWNERS_PREFIX}${resource}`;
    const call = callWithin(this.clock, SWAP_TIMEOUT_MS, lease.signal);
    const swap = { key, expectedRevision, value, leaseId: lease.id };
    const swapped = await this.store.swap(swap, call);
    if (!swapped.ok) {
      return swapped.val.effect === 'not-run' ? { kind: 'unknown' } : this.readBack(key, writeId);
    }
    const outcome = swapped.val;
    if (outcome.kind === 'swapped') return { kind: 'acquired', revision: outcome.revision, value };
    return this.outcomeOf(outcome.current, writeId);
  }

  /**
   * Removes the key so that another entry can acquire the resource at once.
   *
   * @param resource - name of the resource
   * @param epoch - revision of the compare-and-swap that acquired it
   * @returns true if the key is known to be removed, or to have another revision
   */
  async release(resource: string, epoch: number): Promise<boolean> {
    const call = callWithin(this.clock, REMOVE_TIMEOUT_MS);
    const removed = await this.store.remove(`${OWNERS_PREFIX}${resource}`, epoch, call);
    return removed.ok;
  }

  private async readBack(key: string, writeId: string): Promise<AcquireOutcome> {
    const call = callWithin(this.clock, READ_BACK_TIMEOUT_MS);
    const read = await this.store.get(key, call);
    if (!read.ok) return { kind: 'unknown' };
    return this.outcomeOf(read.val, writeId);
  }

  private outcomeOf(
    current: { value: string; revision: number } | undefined,
    writeId: string,
  ): AcquireOutcome {
    if (!current) return { kind: 'lost' };
    const { value, revision } = current;
    const isOwn = parseOwnerRecord(value)?.writeId === writeId;
    return { kind: isOwn ? 'acquired' : 'lost', revision, value };
  }
}
