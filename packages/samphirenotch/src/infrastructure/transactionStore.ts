/**
 * A key-value service with transactions over several keys, as the owner of jobs needs it.
 */
import type { Failure } from '../failure.js';
import type { Result } from '../results.js';
import type { Call } from '../time/call.js';

import type { KeyValue, KeyValueStore, Listing } from './keyValueStore.js';

/** A condition: the key is at the revision, or absent if that is 0. */
export interface Expectation {
  readonly key: string;
  readonly revision: number;
}

/** A value to store. */
export interface Write {
  readonly key: string;
  readonly value: string;
  /** Lease with which the key vanishes. */
  readonly leaseId?: string;
}

/** Changes that take effect together, if all expectations hold. */
export interface Transaction {
  readonly expectations: readonly Expectation[];
  readonly writes: readonly Write[];
  readonly removals: readonly string[];
}

/** What became of a transaction that the store answered. */
export type TransactionOutcome =
  | { readonly kind: 'committed'; readonly revision: number }
  /** Nothing was changed; holds the present items of the expectations that exist. */
  | { readonly kind: 'conflict'; readonly current: readonly KeyValue[] }
  | { readonly kind: 'lease-ended' };

/** A failed call with `effect: 'unknown'` may have taken effect, or may yet do so. */
export interface TransactionStore extends Pick<
  KeyValueStore,
  'get' | 'grantLease' | 'renewLease' | 'revokeLease' | 'watch' | 'close'
> {
  /** Largest number of expectations, writes and removals of a transaction together. */
  readonly maximumTransactionEntries: number;
  /**
   * Lists all keys under a prefix. A listing may be megabytes and links slow, so the time of the call
   * bounds each silence of the store, not the whole.
   */
  list(prefix: string, call: Call): Promise<Result<Listing, Failure>>;
  commit(transaction: Transaction, call: Call): Promise<Result<TransactionOutcome, Failure>>;
}
