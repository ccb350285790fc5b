/**
 * Who is the single writer of a resource: a shard of workers or a partition of jobs.
 */

/** The right to be the single writer of a resource, under a lease. */
export interface Grant {
  /** `shard/DATA-CENTRE/RACK` or `partition/DATA-CENTRE/NUMBER`. */
  readonly resource: string;
  /** Fencing token; rises with every change of owner. */
  readonly epoch: number;
  /** Aborted once the grant is known to be lost or released. */
  readonly signal: AbortSignal;
  /**
   * Tells whether no other owner can exist now, by the monotonic clock; ask at the moment of sending.
   *
   * @returns true while the lease cannot have lapsed
   */
  isCertain(): boolean;
}

/** Something that is done by the owner of a kind of resource only. */
export interface ResourceHandler {
  /** First part of the resource name: `shard` or `partition`. */
  readonly kind: string;
  /** Resources of the kind that need an owner now. */
  resources(): readonly string[];
  /** Begins work on an acquired resource. */
  take(grant: Grant): Promise<void>;
  /** Ends work on a resource; after it resolves another owner may begin at once. */
  release(resource: string): Promise<void>;
}

/** Where resources are owned. */
export interface Ownership {
  /** The grant held here, if any. */
  grantOf(resource: string): Grant | undefined;
  /** Id of the entry that owns the resource by the last news. */
  ownerOf(resource: string): string | undefined;
}
