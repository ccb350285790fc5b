/**
 * Counts calls to the store by kind. A long-poll watch counts as one call.
 */

/** Kinds of calls to the store. */
export type StoreCallKind =
  'get' | 'list' | 'swap' | 'remove' | 'grant-lease' | 'renew-lease' | 'revoke-lease' | 'watch';

/** Number of calls of each kind. */
export class CallCounts {
  private readonly byKind = new Map<StoreCallKind, number>();

  /**
   * Counts one call.
   *
   * @param kind - kind of the call
   */
  add(kind: StoreCallKind): void {
    this.byKind.set(kind, this.of(kind) + 1);
  }

  /**
   * Returns the number of calls of one kind so far.
   *
   * @param kind - kind of the calls
   * @returns the number of calls
   */
  of(kind: StoreCallKind): number {
    return this.byKind.get(kind) ?? 0;
  }

  /**
   * Returns the number of calls of all kinds so far.
   *
   * @returns number of calls by kind
   */
  all(): ReadonlyMap<StoreCallKind, number> {
    return this.byKind;
  }
}
