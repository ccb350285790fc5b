/**
 * A grant that rests on the entry's lease in the store.
 */
import type { Lease } from './lease.js';
import type { Grant } from './ownership.js';

/** A grant of one resource. */
export class LeasedGrant implements Grant {
  private readonly controller = new AbortController();

  /**
   * @param resource - what is owned
   * @param epoch - revision of the swap that acquired it
   * @param lease - the lease that it hangs on
   */
  constructor(
    readonly resource: string,
    readonly epoch: number,
    private readonly lease: Lease,
  ) {}

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  isCertain(): boolean {
    return !this.signal.aborted && this.lease.isCertain();
  }

  /**
   * Tells whether the grant hangs on a lease.
   *
   * @param lease - the lease in use
   * @returns true if it is the grant's lease
   */
  usesLease(lease: Lease | undefined): boolean {
    return this.lease === lease;
  }

  /** Says that the grant is lost or released. */
  end(): void {
    this.controller.abort();
  }
}
