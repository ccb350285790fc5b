/**
 * Blocks starts while the owner's view of jobs or of workers, or its lease, is too old.
 */
import { partLog } from '../../observability/log.js';

import { MAXIMUM_UNCONFIRMED_MS, type Term } from '../store/term.js';

/**
 * Age of the owner's view of jobs above which nothing starts, in milliseconds. Cancellations must
 * take effect within three seconds.
 */
const MAXIMUM_VIEW_AGE_MS = 2_500;

/**
 * Age of the owner's view of workers above which nothing starts, in milliseconds. Nothing may start on a worker
 * later than two seconds after it announced that it leaves.
 */
const MAXIMUM_DIRECTORY_AGE_MS = 1_900;

/** Settings and collaborators of a `StartGate`. */
export interface StartGateOptions {
  /** The owner's term. */
  readonly term: Term;
  /** Returns the age of the owner's view of jobs, in milliseconds. */
  readonly viewAgeMs: () => number;
  /** Returns the age of the owner's view of workers, in milliseconds. */
  readonly directoryAgeMs: () => number;
}

/**
 * Allows starts only while the lease is confirmed recently enough and the views of jobs and workers are fresh.
 * Without a confirmed lease, a successor may already treat this owner's leases as expired.
 */
export class StartGate {
  private readonly log = partLog('starts');

  private wasFresh = true;

  /**
   * @param options - settings and collaborators
   */
  constructor(private readonly options: StartGateOptions) {}

  /**
   * Tells whether tasks may be started now. Logs a change that is due to the age of the view.
   *
   * @returns true if they may be started
   */
  isOpen(): boolean {
    if (this.options.term.leaseUnconfirmedMs() > MAXIMUM_UNCONFIRMED_MS) return false;
    const isFresh = this.isFresh();
    if (isFresh !== this.wasFresh) this.noteChange(isFresh);
    return isFresh;
  }

  private isFresh(): boolean {
    const { viewAgeMs, directoryAgeMs } = this.options;
    return (
      this.isRecent(viewAgeMs(), MAXIMUM_VIEW_AGE_MS) &&
      this.isRecent(directoryAgeMs(), MAXIMUM_DIRECTORY_AGE_MS)
    );
  }

  /**
   * An old view blocks starts only while the store is reachable: if it confirms the lease, it also accepts
   * cancellations and announcements that the owner must know. During an outage it accepts none.
   */
  private isRecent(ageMs: number, maximumAgeMs: number): boolean {
    return ageMs <= maximumAgeMs || this.options.term.leaseUnconfirmedMs() > maximumAgeMs;
  }

  private noteChange(isFresh: boolean): void {
    this.wasFresh = isFresh;
    const { term, viewAgeMs, directoryAgeMs } = this.options;
    const fields = {
      viewAgeMs: Math.round(viewAgeMs()),
      directoryAgeMs: Math.round(directoryAgeMs()),
      unconfirmedMs: Math.round(term.leaseUnconfirmedMs()),
    };
    if (isFresh) this.log.info('Starts resume', fields);
    else this.log.warn('Starts wait for an up-to-date view of jobs and workers', fields);
  }
}
