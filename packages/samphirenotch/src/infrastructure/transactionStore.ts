/**
 * The key-value store that the owner of jobs uses: optimistic transactions over several keys.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';

import type { KeyValue, KeyValueStore, Listing } from './keyValueStore.js';

/** A precondition of a transaction: the key has this revision, or is absent if it is 0. */
export interface Expectation {
  readonly key: string;
  readonly revision: number;
}

/** A value to store. */
export interface Write {
  readonly key: string;
  readonly value: string;
  /** Lease that the key is bound to; the key is removed when the lease ends. */
  readonly leaseId?: string;
}

/** Changes that are applied atomically if all expectations hold. */
export interface Transaction {
  readonly expectations: readonly Expectation[];
  readonly writes: readonly Write[];
  /** Keys to remove. */
  readonly removals: readonly string[];
}

/** Outcome of a transaction that the store answered. */
export type TransactionOutcome =
  | { readonly kind: 'committed'; readonly revision: number }
  /** Nothing was changed. `current` has the current items of those expected keys that exist. */
  | { readonly kind: 'conflict'; readonly current: readonly KeyValue[] }
  /** Nothing was changed because the lease of a write has ended. */
  | { readonly kind: 'lease-ended' };

/**
 * A key-value store with transactions. A failed call with `effect: 'unknown'` may have taken effect
 * or may still take effect later.
 */
export interface TransactionStore extends Pick<
  KeyValueStore,
  'get' | 'grantLease' | 'renewLease' | 'revokeLease' | 'watch' | 'close'
> {
  /** Maximum total number of expectations, writes and removals in a transaction. */
  readonly maximumTransactionEntries: number;
  /**
   * Lists all keys under a prefix. A listing can be megabytes long and links can be slow. Therefore
   * the deadline of the call limits each period without data from the store, not the whole listing.
   * The listing need not be a snapshot: items may be newer than its revision.
   */
  list(prefix: string, call: Call): Promise<Result<Listing, Failure>>;
  commit(transaction: Transaction, call: Call): Promise<Result<TransactionOutcome, Failure>>;
}
