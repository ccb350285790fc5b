/**
 * The key-value store interface that the scheduler uses. Only its implementations know a wire
 * format, so they can be replaced.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';

/** A stored value. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  /** Revision of the write that stored the value. Revisions increase across the whole store. */
  readonly revision: number;
}

/** A compare-and-swap: a write that takes effect only if the key is still at a revision. */
export interface Swap {
  readonly key: string;
  /** Revision that was read, or 0 if the key was absent. */
  readonly expectedRevision: number;
  readonly value: string;
  /** Lease that the key is bound to; the key is removed when the lease ends. */
  readonly leaseId?: string;
}

/** Outcome of a swap that the store answered. */
export type SwapOutcome =
  | { readonly kind: 'swapped'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly current?: KeyValue };

/** One change of a key, as returned by a watch. */
export interface Change {
  readonly key: string;
  /** The new value; undefined if the key was removed. */
  readonly value?: string;
  readonly revision: number;
}

/** The changes that a watch returned. */
export interface ChangeBatch {
  readonly changes: readonly Change[];
  /** Revision after which the next watch continues. */
  readonly revision: number;
  /** True if the store no longer has all changes since the revision: the caller must list again. */
  readonly compacted: boolean;
}

/** All items under a prefix. A watch can continue after `revision`. */
export interface Listing {
  readonly items: readonly KeyValue[];
  readonly revision: number;
}

/**
 * A key-value store with revisions, leases and watches. A failed call with `effect: 'unknown'` may
 * have taken effect; one with `not-run` did not.
 */
export interface KeyValueStore {
  /** Maximum size of a value, in bytes. */
  readonly maximumValueBytes: number;
  get(key: string, call: Call): Promise<Result<KeyValue | undefined, Failure>>;
  /** Lists all items under a prefix at one revision. */
  list(prefix: string, call: Call): Promise<Result<Listing, Failure>>;
  swap(swap: Swap, call: Call): Promise<Result<SwapOutcome, Failure>>;
  /** Removes a key if it has the expected revision. Resolves to whether it was removed. */
  remove(key: string, expectedRevision: number, call: Call): Promise<Result<boolean, Failure>>;
  /** Grants a lease and resolves to its id. */
  grantLease(timeToLiveMs: number, call: Call): Promise<Result<string, Failure>>;
  /** Renews a lease for its full duration. Resolves to false if the store no longer has it. */
  renewLease(leaseId: string, call: Call): Promise<Result<boolean, Failure>>;
  /** Ends a lease and removes the keys bound to it. */
  revokeLease(leaseId: string, call: Call): Promise<Result<boolean, Failure>>;
  /**
   * Waits up to `holdMs` milliseconds for changes under a prefix after a revision (long poll). The
   * batch is empty if there were none.
   */
  watch(
    prefix: string,
    afterRevision: number,
    holdMs: number,
    call: Call,
  ): Promise<Result<ChangeBatch, Failure>>;
  /** Closes the connections. */
  close(): Promise<void>;
}
