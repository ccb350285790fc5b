/**
 * Leader election for one share: the entry that holds the share's lease in the store is its owner.
 *
 * The revision of the write that acquires the lease is the owner's fencing token; workers refuse
 * orders with a lower token. An owner that cannot renew its lease goes on for a while, since an
 * outage of the store elects nobody else. It stops as soon as a worker or the journal refuses its
 * token.
 */
import { setMaxListeners } from 'node:events';

import type { TransactionStore } from '../../infrastructure/transactionStore.js';
import { partLog } from '../../observability/log.js';
import { offAbort, onAbort } from '../../time/abortListeners.js';
import { callWithin } from '../../time/call.js';
import type { Clock } from '../../time/clock.js';
import { Wakeup } from '../../time/wakeup.js';

import { keysOfShare } from '../store/jobKeys.js';
import type { JobReplica } from '../store/jobReplica.js';
import { encodeOwner } from '../store/shareDirectory.js';
import { MAXIMUM_UNCONFIRMED_MS, type Term } from '../store/term.js';

/**
 * Time to live of the owner's lease, in milliseconds. A dead owner goes unnoticed for this long.
 */
const LEASE_MS = 2_500;

/** Safety margin by which the owner counts its lease as shorter, in milliseconds: clocks drift. */
const CLOCK_MARGIN_MS = 100;

/** Time from one renewal to the next, in milliseconds: allows three attempts within one lease. */
const RENEWAL_INTERVAL_MS = 700;

/** Wait before a renewal is tried again that was not answered, in milliseconds. */
const RENEWAL_RETRY_MS = 200;

/** Time between renewals while a decision waits for one, in milliseconds. */
const MIN_RENEWAL_INTERVAL_MS = 100;

/** Timeout of one call to the store, in milliseconds. */
const CALL_TIMEOUT_MS = 600;

/** Least time of its lease that a candidate needs to go on, in milliseconds: for a commit and a renewal. */
const LEAST_LEASE_LEFT_MS = 2 * CALL_TIMEOUT_MS;

/**
 * Backoff after the store refused to grant a lease, in milliseconds: other candidates try
 * meanwhile.
 */
const REFUSED_LEASE_BACKOFF_MS = 60;

/** Longest wait before checking again whether the share has an owner, in milliseconds. */
const MAX_VACANCY_WAIT_MS = 500;

/** Wait before a stopping owner tries again to revoke its lease, in milliseconds. */
const HANDOVER_RETRY_MS = 150;

/**
 * Delay of a candidate on the slowest VM, in milliseconds; a faster VM waits less. Entries notice a
 * vacancy up to 200 ms apart, and a slow one must not win because it noticed first.
 */
const MAX_SLOW_VM_DELAY_MS = 320;

/** The lease that won an election. */
export interface ElectedLease {
  readonly fencingToken: number;
  readonly leaseId: string;
}

/** Settings and collaborators of an `OwnerElection`. */
export interface ElectionOptions {
  /** Id of the share. */
  readonly share: string;
  readonly store: TransactionStore;
  readonly replica: JobReplica;
  readonly clock: Clock;
  /** Name of this entry. */
  readonly entry: string;
  /** Name of this process; it differs after each start. */
  readonly process: string;
  readonly dataCentre: string;
  /** Returns how long this entry waits before it becomes a candidate, in milliseconds. */
  readonly candidacyDelayMs: () => number;
  /** Runs an attempt once the entry's other attempts have ended, so that there is one at a time. */
  readonly runExclusively: (
    attempt: () => Promise<ElectedLease | undefined>,
  ) => Promise<ElectedLease | undefined>;
  /** Called as soon as this entry is elected. */
  readonly onElected: () => void;
  /** CPU of the entry's VM, as a fraction of a core of usual speed. Faster entries try earlier. */
  readonly processorShare: number;
  /** How long a stopping owner goes on while the store does not confirm the revocation, in ms. */
  readonly handoverMs: number;
  /**
   * Prepares the end of the term in progress for a successor; resolves soon in any case.
   *
   * @param whenRenewed - resolves to false if the store does not confirm the owner's lease
   */
  readonly prepareHandover: (whenRenewed: Promise<boolean>) => Promise<void>;
  /** Serves a term; resolves once the term's signal is aborted and all work has ended. */
  readonly serve: (term: Term) => Promise<void>;
}

/** Tries to become the owner of one share whenever the share has none. */
export class OwnerElection {
  private readonly log = partLog('election');

  private readonly wakeup: Wakeup;

  /** Ends the wait for the next renewal. */
  private readonly renewal: Wakeup;

  private leaseConfirmedMs = 0;

  /** Monotonic time at which the newest renewal was sent, in milliseconds. */
  private renewalSentMs = Number.NEGATIVE_INFINITY;

  /** True while the answer to a periodic renewal is awaited. */
  private isRenewing = false;

  /** The renewal that a decision waits for beside the periodic ones; undefined if there is none. */
  private proof: Promise<void> | undefined;

  /** Hands over the term in progress; undefined outside of a term. */
  private handOverTerm: (() => void) | undefined;

  /**
   * @param options - settings and collaborators
   */
  constructor(private readonly options: ElectionOptions) {
    this.wakeup = new Wakeup(options.clock);
    this.renewal = new Wakeup(options.clock);
  }

  /** @returns the id of the share */
  get share(): string {
    return this.options.share;
  }

  /** Checks the replica again, since the owners in it may have changed. */
  notify(): void {
    this.wakeup.wake();
  }

  /**
   * Hands the term in progress over, as a planned stop does, and remains a candidate for later
   * terms.
   *
   * @param reason - for the log
   */
  resign(reason: string): void {
    if (!this.handOverTerm) return;
    this.log.info('The term is handed over', { share: this.options.share, reason });
    this.handOverTerm();
    this.handOverTerm = undefined;
  }

  /**
   * Takes part in elections and serves the terms won; revokes the lease at the end.
   *
   * @param signal - ends the candidacy and the term in progress
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      if (!this.isVacant()) {
        await this.wakeup.wait(MAX_VACANCY_WAIT_MS, signal);
        continue;
      }
      const { replica, processorShare } = this.options;
      const slowVmDelayMs =
        (1 - replica.shares.relativeSpeedOf(processorShare)) * MAX_SLOW_VM_DELAY_MS;
      const candidacyDelayMs = this.options.candidacyDelayMs();
      await clock.sleep(slowVmDelayMs + candidacyDelayMs, signal);
      const elected = await this.options.runExclusively(() =>
        this.campaignIfStillVacant(candidacyDelayMs, signal),
      );
      if (elected) await this.serveTerm(elected, signal);
    }
  }

  /** Runs as one of the entry's serialized attempts, so the reasons for it are checked again. */
  private async campaignIfStillVacant(
    candidacyDelayMs: number,
    signal: AbortSignal,
  ): Promise<ElectedLease | undefined> {
    if (signal.aborted || !this.isVacant()) return undefined;
    // The entry may have been elected for another share while this attempt waited.
    if (this.options.candidacyDelayMs() > candidacyDelayMs) return undefined;
    return this.campaign(signal);
  }

  private isVacant(): boolean {
    const { share, replica, entry, process } = this.options;
    if (replica.revision() === 0) return false;
    const owner = replica.shares.owner(share);
    // A lease of this entry's previous process protects nothing any more.
    return owner === undefined || (owner.entry === entry && owner.process !== process);
  }

  private async campaign(signal: AbortSignal): Promise<ElectedLease | undefined> {
    const { share, store, clock, replica } = this.options;
    // Read before the lease is granted: a rival elected meanwhile makes the commit below fail.
    const expectedRevision = replica.shares.owner(share)?.revision ?? 0;
    // The store counts the lease from the arrival of the call, which is not before this.
    const requestedMs = clock.monotonicMs();
    const lease = await store.grantLease(LEASE_MS, callWithin(clock, CALL_TIMEOUT_MS, signal));
    if (lease.err) {
      this.log.warn('The store did not grant a lease', { share, reason: lease.val.message });
      await clock.sleep(REFUSED_LEASE_BACKOFF_MS, signal);
      return undefined;
    }
    const fencingToken = await this.claim(
      { leaseId: lease.val, untilMs: requestedMs + LEASE_MS - LEAST_LEASE_LEFT_MS },
      expectedRevision,
      signal,
    );
    if (fencingToken !== undefined) {
      this.leaseConfirmedMs = requestedMs;
      this.log.info('Elected', { share, fencingToken, leaseId: lease.val });
      this.options.onElected();
      return { fencingToken, leaseId: lease.val };
    }
    await store.revokeLease(lease.val, callWithin(clock, CALL_TIMEOUT_MS));
    await clock.sleep(CALL_TIMEOUT_MS / 2, signal);
    return undefined;
  }

  /**
   * Makes this entry the owner. A commit whose answer is lost may have done so, or may do so later: the owner
   * in the store is read then and replaced if it is this process, so that it certainly has this lease.
   * Returns the fencing token; undefined if another entry is the owner or the store does not answer.
   */
  private async claim(
    { leaseId, untilMs }: { readonly leaseId: string; readonly untilMs: number },
    expectedRevision: number,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const { share, store, clock } = this.options;
    const key = keysOfShare(share).owner;
    const value = encodeOwner(this.options);
    let revision = expectedRevision;
    while (!signal.aborted) {
      const outcome = await store.commit(
        {
          expectations: [{ key, revision }],
          writes: [{ key, value, leaseId }],
          removals: [],
        },
        callWithin(clock, CALL_TIMEOUT_MS, signal),
      );
      if (outcome.ok && outcome.val.kind === 'committed') return outcome.val.revision;
      this.log.info('Another entry was elected, or the store did not answer', {
        share,
        outcome: outcome.ok ? outcome.val.kind : outcome.val.message,
      });
      if (clock.monotonicMs() >= untilMs) return undefined;
      if (outcome.ok) {
        const current = outcome.val.kind === 'conflict' ? outcome.val.current : [];
        const own = current.find((item) => item.key === key && item.value === value);
        if (!own) return undefined;
        // An earlier commit has taken effect meanwhile.
        revision = own.revision;
        continue;
      }
      await clock.sleep(REFUSED_LEASE_BACKOFF_MS, signal);
      const owner = await store.get(key, callWithin(clock, CALL_TIMEOUT_MS, signal));
      if (owner.err || clock.monotonicMs() >= untilMs) return undefined;
      const found = owner.val?.revision ?? 0;
      // What it is to replace may still be there.
      if (owner.val && owner.val.value !== value && found !== expectedRevision) return undefined;
      revision = found;
    }
    return undefined;
  }

  private async serveTerm(
    { fencingToken, leaseId }: ElectedLease,
    signal: AbortSignal,
  ): Promise<void> {
    const { share } = this.options;
    const ended = new AbortController();
    // Every worker, call and loop of the term adds a listener.
    setMaxListeners(0, ended.signal);
    let handover: Promise<void> | undefined;
    let revokedMs = Number.POSITIVE_INFINITY;
    const startHandover = (): void => {
      handover ??= this.handOver(leaseId, ended, () => {
        revokedMs = this.options.clock.monotonicMs();
      });
    };
    this.handOverTerm = startHandover;
    onAbort(signal, startHandover);
    // The signal may have been aborted while the election was in progress.
    if (signal.aborted) startHandover();
    const depose = (reason: string): void => {
      if (ended.signal.aborted) return;
      this.log.warn('The term ends', {
        share,
        fencingToken,
        reason,
        unconfirmedMs: Math.round(this.options.clock.monotonicMs() - this.leaseConfirmedMs),
      });
      ended.abort();
    };
    const term: Term = {
      fencingToken,
      signal: ended.signal,
      // The store may have revoked the lease although its answer was lost.
      leaseValidUntilMs: () =>
        Math.min(this.leaseConfirmedMs + LEASE_MS - CLOCK_MARGIN_MS, revokedMs),
      leaseUnconfirmedMs: () => this.options.clock.monotonicMs() - this.leaseConfirmedMs,
      confirmSoon: () => this.confirmSoon(leaseId, term),
      stepDown: depose,
    };
    await Promise.all([
      this.renewPeriodically(leaseId, term),
      this.deposeWhenUnconfirmed(term),
      this.options.serve(term),
    ]);
    offAbort(signal, startHandover);
    this.handOverTerm = undefined;
    if (handover) await handover;
    else await this.revokeLease(leaseId);
  }

  /**
   * A stopping owner goes on until the store confirms the revocation or `handoverMs` has passed.
   *
   * @param leaseId - its lease
   * @param ended - ends the term
   * @param onRevoking - called before the lease is revoked for the first time
   */
  private async handOver(
    leaseId: string,
    ended: AbortController,
    onRevoking: () => void,
  ): Promise<void> {
    const { clock, handoverMs, prepareHandover } = this.options;
    const untilMs = clock.monotonicMs() + handoverMs;
    // What prepares the handover ends all leases, which an owner that goes on in an outage still extends.
    const whenRenewed = this.renewLease(leaseId, ended.signal);
    await prepareHandover(whenRenewed.then((renewed) => renewed.ok && renewed.val));
    await whenRenewed;
    onRevoking();
    while (!ended.signal.aborted && clock.monotonicMs() < untilMs) {
      if (await this.revokeLease(leaseId)) break;
      await clock.sleep(HANDOVER_RETRY_MS, ended.signal);
    }
    ended.abort();
  }

  private async revokeLease(leaseId: string): Promise<boolean> {
    const { share, store, clock } = this.options;
    const revoked = await store.revokeLease(leaseId, callWithin(clock, CALL_TIMEOUT_MS));
    this.log.info('The lease was given back', { share, leaseId, answered: revoked.ok });
    return revoked.ok;
  }

  /** Renews the lease once; the result is false if it has ended. */
  private async renewLease(leaseId: string, signal: AbortSignal) {
    const { store, clock } = this.options;
    const sentMs = clock.monotonicMs();
    this.renewalSentMs = sentMs;
    const renewed = await store.renewLease(leaseId, callWithin(clock, CALL_TIMEOUT_MS, signal));
    if (renewed.ok && renewed.val) this.leaseConfirmedMs = Math.max(this.leaseConfirmedMs, sentMs);
    return renewed;
  }

  private async renewPeriodically(leaseId: string, term: Term): Promise<void> {
    const { clock } = this.options;
    // The election itself may have used up a part of the first interval.
    let waitMs = Math.max(0, RENEWAL_INTERVAL_MS - term.leaseUnconfirmedMs());
    while (!term.signal.aborted) {
      const leastWaitMs = Math.min(MIN_RENEWAL_INTERVAL_MS, waitMs);
      await clock.sleep(leastWaitMs, term.signal);
      await this.renewal.wait(waitMs - leastWaitMs, term.signal);
      if (term.signal.aborted) return;
      const sentMs = clock.monotonicMs();
      this.isRenewing = true;
      const wasAnswered = await this.renewOrStepDown(leaseId, term);
      this.isRenewing = false;
      waitMs = this.waitBeforeRenewalMs(wasAnswered, clock.monotonicMs() - sentMs);
    }
    // An answer that arrives later would confirm the lease of the next term.
    await this.proof;
  }

  /** Renews the lease once, and ends the term if it has ended; returns false if the store did not answer. */
  private async renewOrStepDown(leaseId: string, term: Term): Promise<boolean> {
    const renewed = await this.renewLease(leaseId, term.signal);
    // The owner key was removed with the lease, so a rival may have been elected already.
    if (renewed.ok && !renewed.val) term.stepDown('the lease has ended');
    return renewed.ok;
  }

  /** Renews the lease soon, beside a renewal whose answer is awaited: that one was sent too early to prove it. */
  private confirmSoon(leaseId: string, term: Term): void {
    if (!this.isRenewing) {
      this.renewal.wake();
      return;
    }
    const isSentLately =
      this.options.clock.monotonicMs() < this.renewalSentMs + MIN_RENEWAL_INTERVAL_MS;
    if (this.proof || isSentLately) return;
    this.proof = this.renewOrStepDown(leaseId, term).then(() => {
      this.proof = undefined;
    });
  }

  /** An answer that takes long must not cost attempts, of which few fit into a lease. */
  private waitBeforeRenewalMs(wasAnswered: boolean, tookMs: number): number {
    const isLeaseOver = this.options.clock.monotonicMs() >= this.leaseConfirmedMs + LEASE_MS;
    if (!wasAnswered) return isLeaseOver ? RENEWAL_INTERVAL_MS : RENEWAL_RETRY_MS;
    return Math.max(MIN_RENEWAL_INTERVAL_MS, RENEWAL_INTERVAL_MS - tookMs);
  }

  /** Ends a term whose lease is unconfirmed for too long, even while a call to the store hangs. */
  private async deposeWhenUnconfirmed(term: Term): Promise<void> {
    while (!term.signal.aborted) {
      const unconfirmedMs = term.leaseUnconfirmedMs();
      if (unconfirmedMs > MAXIMUM_UNCONFIRMED_MS) {
        term.stepDown(`the lease is unconfirmed for ${Math.round(unconfirmedMs)} ms`);
        return;
      }
      await this.options.clock.sleep(MAXIMUM_UNCONFIRMED_MS - unconfirmedMs + 1, term.signal);
    }
  }
}
