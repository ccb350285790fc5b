/**
 * Exclusive ownership of resources: each shard of workers and each partition of jobs has a single
 * writer.
 */

/** The right of this entry to be the single writer of a resource, backed by a lease. */
export interface Grant {
  /** `shard/DATA-CENTRE/RACK` or `partition/DATA-CENTRE/NUMBER`. */
  readonly resource: string;
  /** Fencing token; increases with every change of owner. */
  readonly epoch: number;
  /** Aborted once the grant is known to be lost or released. */
  readonly signal: AbortSignal;
  /**
   * Checks by the monotonic clock that no other entry can own the resource now. Call it immediately
   * before sending, because the result can change at any time.
   *
   * @returns true while the lease cannot have lapsed
   */
  isCertain(): boolean;
}

/** Does the work that only the owner of a resource may do, for one kind of resource. */
export interface ResourceHandler {
  /** First part of the names of its resources: `shard` or `partition`. */
  readonly kind: string;
  /** Names of all resources of this kind that currently need an owner. */
  resources(): readonly string[];
  /** Starts work on a resource that this entry has acquired. */
  take(grant: Grant): Promise<void>;
  /** Stops work on a resource. Once this resolves, another owner may start immediately. */
  release(resource: string): Promise<void>;
}

/** Tells which entry owns a resource. */
export interface Ownership {
  /** Returns the grant that this entry holds for the resource, if any. */
  grantOf(resource: string): Grant | undefined;
  /** Returns the id of the entry that owned the resource at the last update from the store. */
  ownerOf(resource: string): string | undefined;
}
