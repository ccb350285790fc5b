/**
 * A grant that is valid only as long as the entry's lease in the store.
 */
import type { Lease } from './lease.js';
import type { Grant } from './ownership.js';

/** A grant of one resource under a lease. */
export class LeasedGrant implements Grant {
  private readonly controller = new AbortController();

  /**
   * @param resource - name of the owned resource
   * @param epoch - revision of the compare-and-swap that acquired it
   * @param lease - the lease that its key is attached to
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
   * Checks whether the grant was acquired under a lease.
   *
   * @param lease - the current lease
   * @returns true if it is the lease of the grant
   */
  usesLease(lease: Lease | undefined): boolean {
    return this.lease === lease;
  }

  /** Marks the grant as lost or released and aborts its signal. */
  end(): void {
    this.controller.abort();
  }
}
