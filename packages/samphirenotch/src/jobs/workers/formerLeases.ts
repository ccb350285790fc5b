/**
 * Computes when the leases that former owners may have granted have certainly lapsed.
 */
import type { WorkerDescription } from '../../infrastructure/taskWorker.js';
import type { Clock } from '../../time/clock.js';

import { MAXIMUM_UNCONFIRMED_MS } from '../store/term.js';
import type { LeaseEnds } from './leaseCountdown.js';

/** Longest lease that a former owner can have granted, including clock drift, in milliseconds. */
export const MAX_FORMER_LEASE_MS = 6_500;

/**
 * Time in which a former owner learns of its successor, or stops extending leases, once its successor
 * has reached enough workers of its roster in the data centre, in milliseconds.
 */
export const SUCCESSOR_DISCOVERY_MS = 2_500;

/** An owner of a former term. */
export interface FormerOwner {
  /** Name of its process. */
  readonly process: string;
  readonly fencingToken: number;
}

/** A worker in the roster that former owners leave. */
export interface FormerWorker {
  readonly id: string;
  readonly address: string;
  readonly dataCentre: string;
  /**
   * Fencing token of an owner: it and all later ones that may still act have the worker in their rosters,
   * at this address. Rosters of older versions lack it.
   */
  readonly calledSinceTerm?: number | undefined;
  /** Fencing token of the first owner that may still act and have runs on the worker. */
  readonly usedSinceTerm: number;
  /**
   * Number of workers of its data centre that must not accept the token of such an owner any more until it
   * certainly extends no lease here.
   */
  readonly contactsNeeded: number;
}

/** The first answer of a worker that former owners call. */
interface Contact {
  readonly worker: FormerWorker;
  /** Monotonic time in milliseconds. */
  readonly atMs: number;
}

/** Tells whether every former owner that may extend the lease of a worker calls another worker as well. */
const isCalledBeside = (
  { dataCentre, calledSinceTerm }: FormerWorker,
  worker: FormerWorker,
): boolean =>
  dataCentre === worker.dataCentre &&
  calledSinceTerm !== undefined &&
  calledSinceTerm <= worker.usedSinceTerm;

/** Leases of former owners on workers that have not answered this owner yet. */
export class FormerLeases {
  private lastLossMs = 0;

  /** Workers of the roster that the term began with, by id. */
  private formerWorkers: ReadonlyMap<string, FormerWorker> = new Map();

  /**
   * First answers of workers that accepted this owner's fencing token, in the order of time. From them on,
   * former owners that call the worker cannot rule out a successor in its data centre.
   */
  private readonly contacts: Contact[] = [];

  /**
   * Monotonic times at which leases end at the latest that the last owner no longer extended, in
   * milliseconds, by id of the worker.
   */
  private readonly storedEndsMs = new Map<string, number>();

  /** The same for all other workers. */
  private othersEndMs = Number.POSITIVE_INFINITY;

  /** The last owner before this one that may have granted leases; undefined if it or the roster is not known. */
  private lastOwner: FormerOwner | undefined;

  /** True if no owner before the last one may still act. */
  private isLastOwnerAloneEverywhere = false;

  /** Monotonic time by which the process of the last owner had ended, in milliseconds; infinite if unknown. */
  private lastOwnerEndedMs = Number.POSITIVE_INFINITY;

  /**
   * @param clock - time
   * @param processEndedMs - returns the monotonic time by which the process of a former owner had ended, in
   *   milliseconds; infinite while that is not known
   */
  constructor(
    private readonly clock: Clock,
    private readonly processEndedMs: (owner: FormerOwner) => number,
  ) {}

  /** @returns monotonic time by which every former owner has ended, in milliseconds */
  get ownersEndMs(): number {
    return Math.min(
      this.lastLossMs + MAXIMUM_UNCONFIRMED_MS,
      this.isLastOwnerAloneEverywhere ? this.ownerEndedMs() : Number.POSITIVE_INFINITY,
    );
  }

  /** @returns monotonic time at which the last of all former leases ends, in milliseconds */
  get latestEndMs(): number {
    return this.ownersEndMs + MAX_FORMER_LEASE_MS;
  }

  /**
   * Begins a term.
   *
   * @param ends - leases that the last owner no longer extended
   * @param roster - workers on which former owners may have started runs
   * @param lastLossMs - monotonic time by which the last owner before this one that may have granted
   *   leases had lost the share, in milliseconds
   * @param lastOwner - that owner; undefined if it or the roster is not known
   */
  beginTerm(
    { leases, othersEndMs, othersEnds }: LeaseEnds,
    roster: readonly FormerWorker[],
    lastLossMs: number,
    lastOwner: FormerOwner | undefined,
  ): void {
    this.lastOwner = lastOwner;
    this.lastLossMs = lastLossMs;
    this.othersEndMs = othersEndMs;
    this.formerWorkers = new Map(roster.map((worker) => [worker.id, worker]));
    this.isLastOwnerAloneEverywhere = roster.every(({ id }) => this.isLastOwnerAlone(id));
    [...othersEnds, ...leases].forEach(({ id, endMs }) => this.storedEndsMs.set(id, endMs));
  }

  /**
   * Notes that a worker has accepted this owner's fencing token.
   *
   * @param description - the worker, at the address at which it answers
   */
  markReached({ id, address }: Pick<WorkerDescription, 'id' | 'address'>): void {
    const worker = this.formerWorkers.get(id);
    // Former owners call the worker at no other address.
    if (worker?.address !== address || this.contacts.some((each) => each.worker === worker)) return;
    this.contacts.push({ worker, atMs: this.clock.monotonicMs() });
  }

  /**
   * Computes when a worker that has not answered can hold no lease of a former owner any more: at the
   * latest after the longest time for which a former owner goes on without a confirmed lease. A former
   * owner that is not certain of its lease extends others in a data centre only while all workers of its
   * roster there, or all but a few, accept its fencing token, so that it stops once its successor has
   * reached more of them. Owners that do not have the reached workers in their rosters must not have the
   * silent one either. A lease that an owner counted down in the store it extends no more, nor does an owner
   * whose process has ended.
   *
   * @param worker - the worker
   * @returns monotonic time in milliseconds
   */
  endMs({ id }: Pick<WorkerDescription, 'id'>): number {
    const reachedAtMs = this.decisiveContact(id)?.atMs ?? Number.POSITIVE_INFINITY;
    const lastExtensionMs = Math.min(
      this.ownersEndMs,
      reachedAtMs + SUCCESSOR_DISCOVERY_MS,
      this.isLastOwnerAlone(id) ? this.ownerEndedMs() : Number.POSITIVE_INFINITY,
    );
    return Math.min(
      lastExtensionMs + MAX_FORMER_LEASE_MS,
      this.storedEndsMs.get(id) ?? this.othersEndMs,
    );
  }

  /**
   * Returns by when the process of the last owner had ended.
   *
   * @returns monotonic time by which it had, in milliseconds; infinite while that is not known
   */
  ownerEndedMs(): number {
    if (!this.lastOwner) return Number.POSITIVE_INFINITY;
    this.lastOwnerEndedMs = Math.min(this.lastOwnerEndedMs, this.processEndedMs(this.lastOwner));
    return this.lastOwnerEndedMs;
  }

  /** Tells whether no owner before the last one may still act and have runs on a worker. */
  private isLastOwnerAlone(id: string): boolean {
    const firstToken = this.formerWorkers.get(id)?.usedSinceTerm;
    return (
      this.lastOwner !== undefined &&
      firstToken !== undefined &&
      firstToken >= this.lastOwner.fencingToken
    );
  }

  /** Returns the contact since which former owners cannot rule out a successor beside a worker. */
  private decisiveContact(id: string): Contact | undefined {
    const former = this.formerWorkers.get(id);
    if (!former) return undefined;
    const counted = this.contacts.filter(({ worker }) => isCalledBeside(worker, former));
    return counted[former.contactsNeeded - 1];
  }
}
