/**
 * Tells whether an owner knows enough to start anything.
 */
import { partLog } from '../../observability/log.js';

import { MAXIMUM_UNCONFIRMED_MS, type Term } from '../store/term.js';

/**
 * Age of the news of jobs above which nothing starts, in milliseconds: cancellations are to count
 * after three seconds at the earliest.
 */
const MAXIMUM_VIEW_AGE_MS = 2_500;

/** Closes while a successor may count the leases of this owner as over, or while news are old. */
export class StartGate {
  private readonly log = partLog('starts');

  private wasFresh = true;

  /**
   * @param term - the owner's term
   * @param viewAgeMs - tells how old the newest news of jobs is, in milliseconds
   */
  constructor(
    private readonly term: Term,
    private readonly viewAgeMs: () => number,
  ) {}

  /**
   * Tells whether tasks may be started now; logs when that changes with the age of the news.
   *
   * @returns true if they may
   */
  isOpen(): boolean {
    if (this.term.leaseUnconfirmedMs() > MAXIMUM_UNCONFIRMED_MS) return false;
    const isFresh = this.isFresh();
    if (isFresh !== this.wasFresh) this.noteChange(isFresh);
    return isFresh;
  }

  /**
   * While the store confirms the lease it also takes cancellations, which the owner has to hear of.
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
    if (isFresh) this.log.info('Starts go on', fields);
    else this.log.warn('Starts wait for news of jobs', fields);
  }
}
