/**
 * Computes when the leases that former owners may have granted have certainly lapsed.
 */
import type { WorkerDescription } from '../../infrastructure/taskWorker.js';
import type { Clock } from '../../time/clock.js';

import { MAXIMUM_UNCONFIRMED_MS } from '../store/term.js';
import type { LeaseEnd } from './leaseCountdown.js';

/** Longest lease that a former owner can have granted, including clock drift, in milliseconds. */
const MAX_FORMER_LEASE_MS = 6_500;

/**
 * Time in which a former owner learns of its successor, or stops extending leases, once its successor
 * has reached a worker of its roster in the data centre, in milliseconds.
 */
export const SUCCESSOR_DISCOVERY_MS = 2_500;

/** Leases of former owners on workers that have not answered this owner yet. */
export class FormerLeases {
  private lastLossMs = 0;

  /**
   * Monotonic time at which the first worker of a data centre that former owners call accepted this
   * owner's fencing token, in milliseconds. From it on, they cannot rule out a successor there.
   */
  private readonly reachedAtMs = new Map<string, number>();

  /**
   * Monotonic times at which leases end at the latest that the last owner had counted down, in
   * milliseconds, by id of the worker.
   */
  private readonly countedDownEndsMs = new Map<string, number>();

  /**
   * @param clock - time
   */
  constructor(private readonly clock: Clock) {}

  /** @returns monotonic time by which every former owner has ended, in milliseconds */
  get ownersEndMs(): number {
    return this.lastLossMs + MAXIMUM_UNCONFIRMED_MS;
  }

  /** @returns monotonic time at which the last of all former leases ends, in milliseconds */
  get latestEndMs(): number {
    return this.ownersEndMs + MAX_FORMER_LEASE_MS;
  }

  /**
   * Begins a term.
   *
   * @param leases - leases that the last owner had counted down
   * @param lastLossMs - monotonic time by which the last owner before this one that may have granted
   *   leases had lost the share, in milliseconds
   */
  beginTerm(leases: readonly LeaseEnd[], lastLossMs: number): void {
    this.lastLossMs = lastLossMs;
    leases.forEach(({ id, endMs }) => this.countedDownEndsMs.set(id, endMs));
  }

  /**
   * Notes that a worker of a data centre has accepted this owner's fencing token, which every former owner
   * that may still act has in its roster.
   *
   * @param dataCentre - the data centre
   */
  markReached(dataCentre: string): void {
    if (!this.reachedAtMs.has(dataCentre))
      this.reachedAtMs.set(dataCentre, this.clock.monotonicMs());
  }

  /**
   * Computes when a worker that has not answered can hold no lease of a former owner any more: at the
   * latest after the longest time for which a former owner goes on without a confirmed lease. A former
   * owner that is not certain of its lease extends others in a data centre only while all workers of its
   * roster there accept its fencing token, so that it stops once its successor has reached one of them.
   * A lease that it counted down in the store it extends no more.
   *
   * @param worker - the worker
   * @returns monotonic time in milliseconds
   */
  endMs({ id, dataCentre }: Pick<WorkerDescription, 'id' | 'dataCentre'>): number {
    const reachedAtMs = this.reachedAtMs.get(dataCentre) ?? Number.POSITIVE_INFINITY;
    const lastExtensionMs = Math.min(this.ownersEndMs, reachedAtMs + SUCCESSOR_DISCOVERY_MS);
    return Math.min(
      lastExtensionMs + MAX_FORMER_LEASE_MS,
      this.countedDownEndsMs.get(id) ?? Number.POSITIVE_INFINITY,
    );
  }
}
