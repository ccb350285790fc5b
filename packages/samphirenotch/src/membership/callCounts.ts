/**
 * Counts calls to the store by kind: a waiting watch is one call.
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
   * @param kind - its kind
   */
  add(kind: StoreCallKind): void {
    this.byKind.set(kind, this.of(kind) + 1);
  }

  /**
   * Calls of a kind so far.
   *
   * @param kind - the kind
   * @returns the number
   */
  of(kind: StoreCallKind): number {
    return this.byKind.get(kind) ?? 0;
  }

  /**
   * Calls of all kinds so far.
   *
   * @returns the number of each kind
   */
  all(): ReadonlyMap<StoreCallKind, number> {
    return this.byKind;
  }
}
