/**
 * Blocks starts while the owner's view of jobs or its lease is too old.
 */
import { partLog } from '../../observability/log.js';

import { MAXIMUM_UNCONFIRMED_MS, type Term } from '../store/term.js';

/**
 * Age of the owner's view of jobs above which nothing starts, in milliseconds. Cancellations must
 * take effect within three seconds.
 */
const MAXIMUM_VIEW_AGE_MS = 2_500;

/**
 * Allows starts only while the lease is confirmed recently enough and the view of jobs is fresh.
 * Without a confirmed lease, a successor may already treat this owner's leases as expired.
 */
export class StartGate {
  private readonly log = partLog('starts');

  private wasFresh = true;

  /**
   * @param term - the owner's term
   * @param viewAgeMs - returns the age of the owner's view of jobs, in milliseconds
   */
  constructor(
    private readonly term: Term,
    private readonly viewAgeMs: () => number,
  ) {}

  /**
   * Tells whether tasks may be started now. Logs a change that is due to the age of the view.
   *
   * @returns true if they may be started
   */
  isOpen(): boolean {
    if (this.term.leaseUnconfirmedMs() > MAXIMUM_UNCONFIRMED_MS) return false;
    const isFresh = this.isFresh();
    if (isFresh !== this.wasFresh) this.noteChange(isFresh);
    return isFresh;
  }

  /**
   * An old view blocks starts only while the store is reachable: if it confirms the lease, it also
   * accepts cancellations that the owner must know. During an outage it accepts none.
   */
  private isFresh(): boolean {
    return (
      this.viewAgeMs() <= MAXIMUM_VIEW_AGE_MS ||
      this.term.leaseUnconfirmedMs() > MAXIMUM_VIEW_AGE_MS
    );
  }

  private noteChange(isFresh: boolean): void {
    this.wasFresh = isFresh;
    const fields = {
      viewAgeMs: Math.round(this.viewAgeMs()),
      unconfirmedMs: Math.round(this.term.leaseUnconfirmedMs()),
    };
    if (isFresh) this.log.info('Starts resume', fields);
    else this.log.warn('Starts wait for an up-to-date view of jobs', fields);
  }
}
