/**
 * The platform's key-value service as the scheduler needs it. Other implementations can take the
 * place of the ones beside this file; nothing else knows a wire format.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';

/** A stored value. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  /** Revision of the write that stored it. Revisions rise over the whole store. */
  readonly revision: number;
}

/** A write that takes effect only if the key has not changed since it was read. */
export interface Swap {
  readonly key: string;
  /** Revision that was read; 0 if the key was absent. */
  readonly expectedRevision: number;
  readonly value: string;
  /** Lease with which the key vanishes. */
  readonly leaseId?: string;
}

/** What became of a swap that the store answered. */
export type SwapOutcome =
  | { readonly kind: 'swapped'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly current?: KeyValue };

/** One change seen by a watch; without a value the key was removed. */
export interface Change {
  readonly key: string;
  readonly value?: string;
  readonly revision: number;
}

/** What a watch saw. */
export interface ChangeBatch {
  readonly changes: readonly Change[];
  /** Revision to go on from. */
  readonly revision: number;
  /** True if the store no longer knows that far back and the caller must list again. */
  readonly compacted: boolean;
}

/** All keys under a prefix at one revision. */
export interface Listing {
  readonly items: readonly KeyValue[];
  readonly revision: number;
}

/** A failed call with `effect: 'unknown'` may have taken effect; one with `not-run` did not. */
export interface KeyValueStore {
  /** Largest value that the store holds, in bytes. */
  readonly maximumValueBytes: number;
  get(key: string, call: Call): Promise<Result<KeyValue | undefined, Failure>>;
  list(prefix: string, call: Call): Promise<Result<Listing, Failure>>;
  swap(swap: Swap, call: Call): Promise<Result<SwapOutcome, Failure>>;
  /** Removes a key if it is at the revision; resolves to whether it was. */
  remove(key: string, expectedRevision: number, call: Call): Promise<Result<boolean, Failure>>;
  /** Grants a lease and resolves to its id. */
  grantLease(timeToLiveMs: number, call: Call): Promise<Result<string, Failure>>;
  /** Renews a lease for its full time; resolves to false if the store no longer knows it. */
  renewLease(leaseId: string, call: Call): Promise<Result<boolean, Failure>>;
  /** Ends a lease and removes its keys. */
  revokeLease(leaseId: string, call: Call): Promise<Result<boolean, Failure>>;
  /** Waits for changes under a prefix after a revision, as one call, up to `holdMs`; may be empty. */
  watch(
    prefix: string,
    afterRevision: number,
    holdMs: number,
    call: Call,
  ): Promise<Result<ChangeBatch, Failure>>;
  /** Frees connections. */
  close(): Promise<void>;
}
