/**
 * Elects one entry as the owner of a share, by a lease in the store.
 *
 * The revision of the write that takes the lease is the owner's fencing token: workers refuse orders
 * with a lower one. An owner that cannot renew goes on for a while, since an outage of the store
 * deposes nobody; it stops at the first refusal by a worker or by the journal.
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

/** Time to live of the owner's lease, in milliseconds: how long a dead owner goes unnoticed. */
const LEASE_MS = 2_500;

/** What a lease is taken to be shorter than it is, in milliseconds; clocks differ a little. */
const CLOCK_MARGIN_MS = 100;

/** Time between renewals, in milliseconds: three tries within a lease. */
const RENEWAL_INTERVAL_MS = 700;

/** Time for one call to the store, in milliseconds. */
const CALL_TIMEOUT_MS = 600;

/** Wait of a candidate that the store has refused a lease, in milliseconds: others stand meanwhile. */
const REFUSED_LEASE_BACKOFF_MS = 60;

/** Longest wait for a change of owner, in milliseconds. */
const MAX_VACANCY_WAIT_MS = 500;

/** Wait before a stopping owner tries again to give its lease back, in milliseconds. */
const HANDOVER_RETRY_MS = 150;

/**
 * Spread of candidates, in milliseconds: entries hear of a vacancy up to 200 ms apart, and a slow one is
 * not to be elected because it heard first.
 */
const MAX_SLOW_VM_DELAY_MS = 320;

/** What an election is won with. */
export interface ElectedLease {
  readonly fencingToken: number;
  readonly leaseId: string;
}

/** What an election needs. */
export interface ElectionOptions {
  /** Id of the share. */
  readonly share: string;
  readonly store: TransactionStore;
  readonly replica: JobReplica;
  readonly clock: Clock;
  /** Name of this entry. */
  readonly entry: string;
  /** Name of this process, another one after each start. */
  readonly process: string;
  readonly dataCentre: string;
  /** Tells how much later than others this entry stands, in milliseconds, for what it does already. */
  readonly candidacyDelayMs: () => number;
  /** Lets one attempt of the entry at a time be made. */
  readonly runExclusively: (
    attempt: () => Promise<ElectedLease | undefined>,
  ) => Promise<ElectedLease | undefined>;
  /** Called as soon as the entry is elected. */
  readonly onElected: () => void;
  /** What the entry's VM has of a core of the usual speed: faster entries stand for election earlier. */
  readonly processorShare: number;
  /** How long a stopping owner goes on while the store does not take its lease back. */
  readonly handoverMs: number;
  /** Serves a term until its signal is aborted. */
  readonly serve: (term: Term) => Promise<void>;
}

/** Stands for election whenever there is no owner. */
export class OwnerElection {
  private readonly log = partLog('election');

  private readonly wakeup: Wakeup;

  private leaseConfirmedMs = 0;

  /** Hands over the term in progress. */
  private handOverTerm: (() => void) | undefined;

  /**
   * @param options - what it works with
   */
  constructor(private readonly options: ElectionOptions) {
    this.wakeup = new Wakeup(options.clock);
  }

  /** @returns id of the share */
  get share(): string {
    return this.options.share;
  }

  /** Looks at the replica anew. */
  notify(): void {
    this.wakeup.wake();
  }

  /**
   * Hands the term in progress over, as a planned stop does; stands for election again afterwards.
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
   * Stands for election until told to stop; gives the lease back at the end.
   *
   * @param signal - ends the election and the term
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

  /** An entry that stands for several shares stands for one at a time. */
  private async campaignIfStillVacant(
    candidacyDelayMs: number,
    signal: AbortSignal,
  ): Promise<ElectedLease | undefined> {
    if (signal.aborted || !this.isVacant()) return undefined;
    // It may have been elected for something else meanwhile.
    if (this.options.candidacyDelayMs() > candidacyDelayMs) return undefined;
    return this.campaign(signal);
  }

  private isVacant(): boolean {
    const { share, replica, entry, process } = this.options;
    if (replica.revision() === 0) return false;
    const owner = replica.shares.owner(share);
    // A lease of this entry's former life protects nothing any more.
    return owner === undefined || (owner.entry === entry && owner.process !== process);
  }

  private async campaign(signal: AbortSignal): Promise<ElectedLease | undefined> {
    const { share, store, clock, replica } = this.options;
    const key = keysOfShare(share).owner;
    // A rival may be elected while the store is asked for the lease.
    const expectedRevision = replica.shares.owner(share)?.revision ?? 0;
    // The store counts the lease from when the call arrives.
    const requestedMs = clock.monotonicMs();
    const lease = await store.grantLease(LEASE_MS, callWithin(clock, CALL_TIMEOUT_MS, signal));
    if (lease.err) {
      this.log.warn('The store gave no lease', { share, reason: lease.val.message });
      await clock.sleep(REFUSED_LEASE_BACKOFF_MS, signal);
      return undefined;
    }
    const value = encodeOwner(this.options);
    const outcome = await store.commit(
      {
        expectations: [{ key, revision: expectedRevision }],
        writes: [{ key, value, leaseId: lease.val }],
        removals: [],
      },
      callWithin(clock, CALL_TIMEOUT_MS, signal),
    );
    if (outcome.ok && outcome.val.kind === 'committed') {
      this.leaseConfirmedMs = requestedMs;
      const { revision: fencingToken } = outcome.val;
      this.log.info('Elected', { share, fencingToken, leaseId: lease.val });
      this.options.onElected();
      return { fencingToken, leaseId: lease.val };
    }
    this.log.info('Another entry was elected, or the store did not answer', {
      share,
      outcome: outcome.ok ? outcome.val.kind : outcome.val.message,
    });
    await store.revokeLease(lease.val, callWithin(clock, CALL_TIMEOUT_MS));
    await clock.sleep(CALL_TIMEOUT_MS / 2, signal);
    return undefined;
  }

  private async serveTerm(
    { fencingToken, leaseId }: ElectedLease,
    signal: AbortSignal,
  ): Promise<void> {
    const { share } = this.options;
    const ended = new AbortController();
    // Every worker, call and loop of the term listens.
    setMaxListeners(0, ended.signal);
    let handover: Promise<void> | undefined;
    let handoverStartedMs = Number.POSITIVE_INFINITY;
    const startHandover = (): void => {
      handoverStartedMs = Math.min(handoverStartedMs, this.options.clock.monotonicMs());
      handover ??= this.handOver(leaseId, ended);
    };
    this.handOverTerm = startHandover;
    onAbort(signal, startHandover);
    // A stop may have come while the store was asked.
    if (signal.aborted) startHandover();
    const depose = (reason: string): void => {
      if (ended.signal.aborted) return;
      this.log.warn('The term ends', { share, fencingToken, reason });
      ended.abort();
    };
    const term: Term = {
      fencingToken,
      signal: ended.signal,
      // The store may have taken the lease back although its answer was lost.
      leaseValidUntilMs: () =>
        Math.min(this.leaseConfirmedMs + LEASE_MS - CLOCK_MARGIN_MS, handoverStartedMs),
      leaseUnconfirmedMs: () => this.options.clock.monotonicMs() - this.leaseConfirmedMs,
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

  /** A stopping owner goes on until the store has taken its lease back, or there is no time left. */
  private async handOver(leaseId: string, ended: AbortController): Promise<void> {
    const { clock, handoverMs } = this.options;
    const untilMs = clock.monotonicMs() + handoverMs;
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

  private async renewPeriodically(leaseId: string, term: Term): Promise<void> {
    const { store, clock } = this.options;
    // The election itself may have taken long.
    let waitMs = Math.max(0, RENEWAL_INTERVAL_MS - term.leaseUnconfirmedMs());
    while (!term.signal.aborted) {
      await clock.sleep(waitMs, term.signal);
      waitMs = RENEWAL_INTERVAL_MS;
      if (term.signal.aborted) return;
      const sentMs = clock.monotonicMs();
      const call = callWithin(clock, CALL_TIMEOUT_MS, term.signal);
      const renewed = await store.renewLease(leaseId, call);
      if (renewed.ok && renewed.val) this.leaseConfirmedMs = sentMs;
      if (renewed.ok && !renewed.val) {
        // The key went with the lease, so a rival may have been elected already.
        term.stepDown('the lease has ended');
      }
    }
  }

  /** Ends a term that is unconfirmed for too long, however long calls to the store take. */
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
